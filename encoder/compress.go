package encoder

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// compressFrom is the size in bytes from which a record is compressed.
	minCompressBytes = 1024
	// recordLimit bounds the size in bytes of a record once it is decompressed.
	maxRecordBytes = 64 << 20
)

// gzipMagic begins a compressed record. No protocol buffer begins with it: its
// first byte would be a tag of a wire type that does not exist.
var gzipMagic = []byte{0x1f, 0x8b}

// compress returns data, compressed if it is large. Rules and checkpoints are
// large and repeat themselves.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	return packed.Bytes(), nil
}

// decompress returns what compress was given.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress record")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxRecordBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress record")
	}
	if len(plain) > maxRecordBytes {
		return nil, errors.Newf("the record is larger than %d bytes", maxRecordBytes)
	}
	return plain, nil
}
