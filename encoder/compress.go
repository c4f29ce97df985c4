package encoder

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// minCompressBytes is the minimum size of a record that is compressed.
	minCompressBytes = 1024
	// maxRecordBytes is the size limit of a decompressed record.
	maxRecordBytes = 64 << 20
)

// gzipMagic is the prefix of a compressed record. No encoded protocol buffer starts
// with it, since its first byte would be a tag with a wire type that does not exist.
var gzipMagic = []byte{0x1f, 0x8b}

// compress returns data, compressed if it is large. Records with rules or a
// checkpoint are large and compress well.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	return compressed.Bytes(), nil
}

// decompress returns the data that compress was called with.
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
		return nil, errors.Newf("the decompressed record exceeds %d bytes", maxRecordBytes)
	}
	return plain, nil
}
