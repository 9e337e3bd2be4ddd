package main

import (
	"fmt"
	"time"

	"ivydeck/internal/transport/identity"
)

type caFlags struct {
	Dir string `help:"Folder of the authority, including its private key; do not distribute it." default:"ca" type:"path"`
}

type caInitCmd struct {
	caFlags
	Validity time.Duration `name:"life" help:"Validity of the authority." default:"43800h"`
}

func (c *caInitCmd) Run() error {
	a, err := identity.NewAuthority(c.Dir, c.Validity)
	if err != nil {
		return err
	}
	fmt.Printf("%s: created an authority valid for %v; distribute %s to all processes\n", c.Dir, c.Validity, a.Bundle())
	return nil
}

type caIssueCmd struct {
	caFlags
	Role      string        `arg:"" help:"Role: core, node or operator." enum:"core,node,operator"`
	Name      string        `arg:"" help:"node_name of the machine, or name of the operator."`
	OutputDir string        `name:"out" help:"Folder for the certificate and key files." default:"." type:"path"`
	Validity  time.Duration `name:"life" help:"Validity of the certificate." default:"720h"`
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
	Validity time.Duration `name:"life" help:"Validity of the new authority." default:"43800h"`
}

func (c *caRotateCmd) Run() error {
	a, err := identity.OpenAuthority(c.Dir)
	if err != nil {
		return err
	}
	if err := a.Rotate(c.Validity); err != nil {
		return err
	}
	fmt.Printf("%s trusts the new authority and the old one. Distribute it to all processes, reissue all certificates, and then run ca retire.\n", a.Bundle())
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
	fmt.Printf("%s trusts only the current authority\n", a.Bundle())
	return nil
}
