package questionnaire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/figweir/figweir/config"
)

// Names of the generated files, relative to the output directory.
const (
	ConfigFile         = "config.json"
	VMsFile            = "vms.json"
	KeysFile           = "keys.json"
	OperatorSecretFile = "operator.secret"
	KeySecretFile      = "key_digest.secret"
	nodesDirectory     = "nodes"
	enginesDirectory   = "engines"
	servicesDirectory  = "services"
)

// Modes of the generated files. Files with secrets are for their owner only.
const (
	secretMode    fs.FileMode = 0o600
	plainMode     fs.FileMode = 0o644
	directoryMode fs.FileMode = 0o755
)

// File is one generated file.
type File struct {
	// Name is relative to the output directory, with slashes.
	Name    string
	Mode    fs.FileMode
	Content []byte
}

// ExistsError means that files would have been overwritten; none was written.
type ExistsError struct {
	Files []string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("%d of the files exist already, the first is %s; nothing was written", len(e.Files), e.Files[0])
}

// Files encodes the deployment as files.
func (d *Deployment) Files() ([]File, error) {
	document, err := config.Format(d.Document)
	if err != nil {
		return nil, err
	}
	files := []File{
		{ConfigFile, plainMode, document},
		{OperatorSecretFile, secretMode, []byte(d.Secrets.Operator + "\n")},
		{KeySecretFile, secretMode, []byte(d.Secrets.KeyDigest + "\n")},
	}
	add := func(name string, mode fs.FileMode, v any) {
		raw, encodeErr := encode(v)
		err = errors.Join(err, encodeErr)
		files = append(files, File{name, mode, raw})
	}
	add(VMsFile, plainMode, d.VMs)
	add(KeysFile, secretMode, d.Keys)
	for _, s := range d.Nodes {
		add(nodesDirectory+"/"+s.Name+".json", secretMode, s)
	}
	for _, s := range d.Engines {
		add(enginesDirectory+"/"+s.Name+".json", plainMode, s)
	}
	for _, s := range d.Services {
		add(servicesDirectory+"/"+s.Name+".json", plainMode, s)
	}
	return files, err
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(v)
	return b.Bytes(), err
}

// Write writes the files into a directory, which is created if needed. Without
// force it returns an *ExistsError, and writes nothing, if one of them exists.
func Write(directory string, files []File, force bool) error {
	if !force {
		if err := refuseExisting(directory, files); err != nil {
			return err
		}
	}
	for _, f := range files {
		path := filepath.Join(directory, filepath.FromSlash(f.Name))
		if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
			return err
		}
		if err := replaceFile(path, f); err != nil {
			return err
		}
	}
	return nil
}

func refuseExisting(directory string, files []File) error {
	var existing []string
	for _, f := range files {
		path := filepath.Join(directory, filepath.FromSlash(f.Name))
		_, err := os.Lstat(path)
		switch {
		case err == nil:
			existing = append(existing, path)
		case !errors.Is(err, fs.ErrNotExist):
			return err
		}
	}
	if len(existing) > 0 {
		return &ExistsError{Files: existing}
	}
	return nil
}

// replaceFile writes a temporary file and renames it, so that a failure leaves
// the old file whole, and a secret never takes over the mode of an old file.
func replaceFile(path string, f File) (err error) {
	temporary, err := os.CreateTemp(filepath.Dir(path), ".figweir-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(temporary.Name())
		}
	}()
	_, err = temporary.Write(f.Content)
	if err == nil {
		err = temporary.Chmod(f.Mode)
	}
	if err = errors.Join(err, temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}
