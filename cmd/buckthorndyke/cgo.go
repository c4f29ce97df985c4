package main

// The platform's build links with the C library, which needs a file that uses cgo.

import "C"
