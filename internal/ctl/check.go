package ctl

import "github.com/hornbeamstack/hornbeamstack/pkg/finding"

// checkedFile describes a bundle file without findings.
type checkedFile struct {
	File       string `json:"file"`
	Deployment string `json:"deployment"`
	Version    uint64 `json:"version"`
	Root       string `json:"root"`
	Blocks     int    `json:"blocks"`
}

// check checks all files and reports their findings together. The files without
// findings are listed only if no file has any.
func (c *command) check(a *checkArgs) error {
	var found finding.List
	var good []checkedFile
	for _, file := range a.Files {
		b, err := readBundle(file)
		if err != nil {
			var list finding.List
			if list = findingsOf(err); list == nil {
				list.Add(file, 0, "", "%v", err)
			}
			found = append(found, list...)
			continue
		}
		good = append(good, checkedFile{file, b.Deployment, b.Version, b.Root().String(), len(b.Blocks)})
	}
	if len(found) > 0 {
		return &exitError{ExitUsage, found}
	}
	if c.args.JSON {
		return c.print(map[string]any{"files": good, "findings": finding.List{}}, "")
	}
	for _, f := range good {
		if err := c.print(f, "%s: deployment %s, version %d, root %s, %d caller blocks", f.File, f.Deployment, f.Version, f.Root, f.Blocks); err != nil {
			return err
		}
	}
	return nil
}
