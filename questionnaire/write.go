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

// Modes of the generated files. Only the owner can read files with secrets.
const (
	secretMode    fs.FileMode = 0o600
	publicMode    fs.FileMode = 0o644
	directoryMode fs.FileMode = 0o755
)

// File is a generated file.
type File struct {
	// Name is the path relative to the output directory, separated by slashes.
	Name    string
	Mode    fs.FileMode
	Content []byte
}

// FilesExistError means that WriteFiles would have overwritten files and
// therefore wrote none.
type FilesExistError struct {
	// Files are the paths of the existing files.
	Files []string
}

// Error implements error.
func (e *FilesExistError) Error() string {
	return fmt.Sprintf("%d of the files exist already, the first is %s; nothing was written", len(e.Files), e.Files[0])
}

// Files encodes the deployment as configuration, settings, key and secret files. It
// returns an error if a value can't be encoded as JSON.
func (d *Deployment) Files() ([]File, error) {
	document, err := config.Format(d.Document)
	if err != nil {
		return nil, err
	}
	files := []File{
		{ConfigFile, publicMode, document},
		{OperatorSecretFile, secretMode, []byte(d.Secrets.Operator + "\n")},
		{KeySecretFile, secretMode, []byte(d.Secrets.KeyDigest + "\n")},
	}
	addFile := func(name string, mode fs.FileMode, v any) {
		raw, encodeErr := encodeJSON(v)
		err = errors.Join(err, encodeErr)
		files = append(files, File{name, mode, raw})
	}
	addFile(VMsFile, publicMode, d.VMs)
	addFile(KeysFile, secretMode, d.Keys)
	for _, s := range d.Nodes {
		addFile(nodesDirectory+"/"+s.Name+".json", secretMode, s)
	}
	for _, s := range d.Engines {
		addFile(enginesDirectory+"/"+s.Name+".json", publicMode, s)
	}
	for _, s := range d.Services {
		addFile(servicesDirectory+"/"+s.Name+".json", publicMode, s)
	}
	return files, err
}

func encodeJSON(v any) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(v)
	return b.Bytes(), err
}

// WriteFiles writes the files to a directory and creates the directory if
// needed. If any of the files exists and force is not set, it writes nothing and
// returns a *FilesExistError.
func WriteFiles(directory string, files []File, force bool) error {
	if !force {
		if err := checkNoneExist(directory, files); err != nil {
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

// checkNoneExist returns a *FilesExistError if any of the files exists.
func checkNoneExist(directory string, files []File) error {
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
		return &FilesExistError{Files: existing}
	}
	return nil
}

// replaceFile writes a temporary file and renames it to path. A failure leaves
// the old file intact, and a new secret never gets the mode of the old file.
func replaceFile(path string, f File) (err error) {
	tmp, err := os.CreateTemp(filepath.Dir(path), ".figweir-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(tmp.Name())
		}
	}()
	_, err = tmp.Write(f.Content)
	if err == nil {
		err = tmp.Chmod(f.Mode)
	}
	if err = errors.Join(err, tmp.Close()); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}
