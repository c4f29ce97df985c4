package main

// The platform's build links the program with the C library, which requires a file that
// uses cgo.

import "C"
