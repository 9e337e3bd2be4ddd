// Package boundedfile reads files of limited size.
package boundedfile

import (
	"fmt"
	"io"
	"os"
)

// Read returns the content of a file. It returns an error that names the maximum, in bytes, if the file is larger. The file
// may be a pipe or a device.
func Read(path string, maximum int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maximum+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > maximum {
		return nil, fmt.Errorf("%s is larger than %d bytes", path, maximum)
	}
	return content, nil
}
