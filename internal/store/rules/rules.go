// This file defines Validate.

// Package rules validates configurations. Errors name the field and the reason.
package rules

import (
	"fmt"
	"math"

	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	maxElements  = 10000
	maxShare     = 1e6
	maxTimeoutMS = 600_000
)

// Error describes an invalid field.
type Error struct {
	// Path is the path of the field, such as JobKinds[2].ClientAccount.
	Path, Reason string
}

var _ error = (*Error)(nil)

// Error returns the path and the reason.
func (e *Error) Error() string {
	return e.Path + ": " + e.Reason
}

// Validate returns an *Error for the first invalid field.
func Validate(c *wire.Configuration) error {
	if c == nil {
		return &Error{"Configuration", "is missing"}
	}
	if len(c.ClientAccounts)+len(c.Services)+len(c.JobKinds) > maxElements {
		return &Error{"Configuration", fmt.Sprintf("has more than %d elements", maxElements)}
	}
	accounts := map[string]bool{}
	for i, a := range c.ClientAccounts {
		if err := validateAccount(fmt.Sprintf("ClientAccounts[%d]", i), a, accounts); err != nil {
			return err
		}
	}
	services := map[string]bool{}
	for i, s := range c.Services {
		if err := validateService(fmt.Sprintf("Services[%d]", i), s, accounts, services); err != nil {
			return err
		}
	}
	kinds := map[string]bool{}
	for i, k := range c.JobKinds {
		if err := validateJobKind(fmt.Sprintf("JobKinds[%d]", i), k, accounts, kinds); err != nil {
			return err
		}
	}
	return nil
}

func validateAccount(path string, a *wire.ClientAccount, seen map[string]bool) error {
	if err := validateName(path, a.GetName(), a.GetName(), seen); err != nil {
		return err
	}
	if !(a.Share > 0) || a.Share > maxShare || math.IsInf(a.Share, 0) {
		return &Error{path + ".Share", fmt.Sprintf("is %v; must be above 0 and at most %g", a.Share, float64(maxShare))}
	}
	return nil
}

func validateService(path string, s *wire.Service, accounts, seen map[string]bool) error {
	if err := validateName(path, s.GetName(), s.GetName(), seen); err != nil {
		return err
	}
	if err := validateAccountReference(path, s.ClientAccount, accounts); err != nil {
		return err
	}
	if d := s.DefaultTimeout; d != nil {
		if ms := d.AsDuration().Milliseconds(); ms < 1 || ms > maxTimeoutMS {
			return &Error{path + ".DefaultTimeout", fmt.Sprintf("is %v; must be 1ms to %dms", d.AsDuration(), maxTimeoutMS)}
		}
	}
	return nil
}

func validateJobKind(path string, k *wire.JobKind, accounts, seen map[string]bool) error {
	if err := validateName(path, k.GetName(), k.GetClientAccount()+"/"+k.GetName(), seen); err != nil {
		return err
	}
	if err := validateAccountReference(path, k.ClientAccount, accounts); err != nil {
		return err
	}
	switch k.Class {
	case wire.JobClass_JOB_CLASS_BATCH, wire.JobClass_JOB_CLASS_STANDING:
	default:
		return &Error{path + ".Class", "must be JOB_CLASS_BATCH or JOB_CLASS_STANDING"}
	}
	if k.Resources.GetMilliProcessors() == 0 || k.Resources.GetMemoryBytes() == 0 {
		return &Error{path + ".Resources", "must name MilliProcessors and MemoryBytes above 0"}
	}
	return nil
}

func validateName(path, name, key string, seen map[string]bool) error {
	if !setup.NamePattern.MatchString(name) {
		return &Error{path + ".Name", fmt.Sprintf("is %q; must be 1 to 64 of a-z, 0-9 and '-'", name)}
	}
	if seen[key] {
		return &Error{path + ".Name", fmt.Sprintf("%q stands twice", name)}
	}
	seen[key] = true
	return nil
}

func validateAccountReference(path, account string, accounts map[string]bool) error {
	if !accounts[account] {
		return &Error{path + ".ClientAccount", fmt.Sprintf("%q isn't among ClientAccounts", account)}
	}
	return nil
}
