// This file defines the terms of accepted jobs that the configuration no longer has.

package state

import (
	"cmp"
	"maps"
	"slices"

	"sycamoredeck.example/internal/schema/wire"
)

// terms are the job kinds and client accounts that jobs were submitted under, by the keys of
// Machine.jobKinds and Machine.accounts.
type terms struct {
	kinds    map[string]*wire.JobKind
	accounts map[string]*wire.ClientAccount
}

// Kind returns a job kind of a client account, or nil. One that the configuration no longer has is known
// as long as there is a job of it.
func (m *Machine) Kind(account, kind string) *wire.JobKind {
	key := accountKey(account, kind)
	return cmp.Or(m.jobKinds[key], m.removed.kinds[key])
}

// Account returns a client account, or nil. One that the configuration no longer has is known as long
// as there is a job of it.
func (m *Machine) Account(name string) *wire.ClientAccount {
	return cmp.Or(m.accounts[name], m.removed.accounts[name])
}

// terms returns the terms that the configuration has, and those that it no longer has.
func (m *Machine) terms() terms {
	all := terms{maps.Clone(m.jobKinds), maps.Clone(m.accounts)}
	maps.Copy(all.kinds, m.removed.kinds)
	maps.Copy(all.accounts, m.removed.accounts)
	return all
}

// keepTerms determines which removed terms have to be kept, from earlier ones.
func (m *Machine) keepTerms(earlier terms) {
	if !m.graph.KeepsTerms() {
		return
	}
	m.removed = terms{map[string]*wire.JobKind{}, map[string]*wire.ClientAccount{}}
	for _, j := range m.jobs {
		account, key := j.Spec.ClientAccount, accountKey(j.Spec.ClientAccount, j.Spec.JobKind)
		if k := earlier.kinds[key]; k != nil && m.jobKinds[key] == nil {
			m.removed.kinds[key] = k
		}
		if a := earlier.accounts[account]; a != nil && m.accounts[account] == nil {
			m.removed.accounts[account] = a
		}
	}
}

func (t *terms) save(s *wire.MachineState) {
	for _, key := range slices.Sorted(maps.Keys(t.kinds)) {
		s.RemovedKinds = append(s.RemovedKinds, t.kinds[key])
	}
	for _, name := range slices.Sorted(maps.Keys(t.accounts)) {
		s.RemovedAccounts = append(s.RemovedAccounts, t.accounts[name])
	}
}

func (t *terms) load(s *wire.MachineState) {
	t.kinds, t.accounts = map[string]*wire.JobKind{}, map[string]*wire.ClientAccount{}
	for _, k := range s.RemovedKinds {
		t.kinds[accountKey(k.ClientAccount, k.Name)] = k
	}
	for _, a := range s.RemovedAccounts {
		t.accounts[a.Name] = a
	}
}
