package main

import (
	"fmt"
	"time"

	"ivydeck/internal/transport/identity"
)

type caFlags struct {
	Dir string `help:"The authority's folder. It stays with whoever issues." default:"ca" type:"path"`
}

type caInitCmd struct {
	caFlags
	Validity time.Duration `name:"life" help:"How long the authority is good for." default:"43800h"`
}

func (c *caInitCmd) Run() error {
	a, err := identity.NewAuthority(c.Dir, c.Validity)
	if err != nil {
		return err
	}
	fmt.Printf("%s: an authority for %v; give every process %s\n", c.Dir, c.Validity, a.Bundle())
	return nil
}

type caIssueCmd struct {
	caFlags
	Role      string        `arg:"" help:"core, node or operator." enum:"core,node,operator"`
	Name      string        `arg:"" help:"The machine's node_name, or the operator's name."`
	OutputDir string        `name:"out" help:"Folder for the two files." default:"." type:"path"`
	Validity  time.Duration `name:"life" help:"How long the certificate is good for." default:"720h"`
}

func (c *caIssueCmd) Run() error {
	a, err := identity.OpenAuthority(c.Dir)
	if err != nil {
		return err
	}
	f, err := a.Issue(identity.Name{Role: identity.Role(c.Role), Name: c.Name}, c.Validity, c.OutputDir)
	if err != nil {
		return err
	}
	fmt.Printf("%s\n%s\n", f.Cert, f.Key)
	return nil
}

type caRotateCmd struct {
	caFlags
	Validity time.Duration `name:"life" help:"How long the new authority is good for." default:"43800h"`
}

func (c *caRotateCmd) Run() error {
	a, err := identity.OpenAuthority(c.Dir)
	if err != nil {
		return err
	}
	if err := a.Rotate(c.Validity); err != nil {
		return err
	}
	fmt.Printf("%s trusts the new authority and the old one. Bring it to every process, then issue all certificates anew, then: ca retire\n", a.Bundle())
	return nil
}

type caRetireCmd struct{ caFlags }

func (c *caRetireCmd) Run() error {
	a, err := identity.OpenAuthority(c.Dir)
	if err != nil {
		return err
	}
	if err := a.Retire(); err != nil {
		return err
	}
	fmt.Printf("%s trusts the present authority alone\n", a.Bundle())
	return nil
}
