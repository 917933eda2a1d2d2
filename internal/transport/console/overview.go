package console

import (
	"context"
	"fmt"
	"strings"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/platform"
)

// fleetRow describes one entry instance on a page.
type fleetRow struct {
	ID, FailureDomain string
	// State is its state in the instance list, or leaving if its own status
	// says so.
	State string
	// Document is the number of the document in force there; 0 for none or not
	// known.
	Document int64
	// Result says in plain words whether the expected document is in force
	// there; Good is true if it is.
	Result string
	Good   bool
	Age    string
}

// fleetBody describes the fleet on a page.
type fleetBody struct {
	// Root is the path prefix of all pages.
	Root string
	Rows []fleetRow
	// Behind are the rows of the instances that can't be reached or do not have
	// the document in force.
	Behind []fleetRow
	// InForce is the number of instances that have the document, or a newer
	// one, in force.
	InForce     int
	Unreachable int
	Servers     []serverRow
	ListAge     string
	ListDown    bool
}

// maxExpandedRows is the largest number of instances that are all shown without
// folding.
const maxExpandedRows = 20

// Many reports whether the page folds the list of all instances.
func (b fleetBody) Many() bool { return len(b.Rows) > maxExpandedRows }

// Table returns a table of the given rows. The caption gets the age of the
// instance list.
func (b fleetBody) Table(rows []fleetRow, caption string) fleetTable {
	return fleetTable{Root: b.Root, Caption: caption + " (list read " + b.ListAge + ")", Rows: rows}
}

// fleetTable is one table of entry instances.
type fleetTable struct {
	Root    string
	Caption string
	Rows    []fleetRow
}

// serverRow summarises the backend servers of one failure domain.
type serverRow struct {
	FailureDomain string
	Out           bool
	Summary       string
}

// fleetBody returns the state of every entry instance compared with a document,
// which is nil if there is none.
func (s *Server) fleetBody(document *configuration.InForce) fleetBody {
	view := s.fleet.snapshot()
	body := fleetBody{Root: s.root, ListAge: age(s.opts.Now(), view.ListAt), ListDown: view.ListDown}
	for i := range view.Entries {
		row := s.fleetRow(&view.Entries[i], document)
		if row.Good {
			body.InForce++
		} else {
			body.Behind = append(body.Behind, row)
		}
		if !view.Entries[i].Reachable {
			body.Unreachable++
		}
		body.Rows = append(body.Rows, row)
	}
	for _, domain := range baseDocument(s.follower.current()).FailureDomains {
		body.Servers = append(body.Servers, serverRow{FailureDomain: domain.Name, Out: domain.Out, Summary: serverSummary(&view, domain.Name)})
	}
	return body
}

func (s *Server) fleetRow(entry *entryView, expected *configuration.InForce) fleetRow {
	row := fleetRow{ID: entry.ID, FailureDomain: entry.FailureDomain, State: string(entry.ListedState), Document: entry.Status.Configuration}
	row.Age = age(s.opts.Now(), entry.StatusAt)
	if entry.Status.Leaving {
		row.State = string(platform.InstanceLeaving)
	}
	inForce := expected != nil && (entry.Status.Hash == hashOf(expected) || entry.Status.Configuration > numberOf(expected))
	switch {
	case !entry.Reachable && entry.StatusAt.IsZero():
		row.Result = "can't be reached"
	case !entry.Reachable:
		row.Result = fmt.Sprintf("can't be reached; document %d when last seen", row.Document)
	case inForce:
		row.Result, row.Good = "in force", true
	case row.Document == 0:
		row.Result = "has no document yet"
	default:
		row.Result = "not yet in force"
	}
	return row
}

// serverSummary says in plain words how many backend servers of a failure domain
// are live and how many are leaving.
func serverSummary(view *fleetView, domain string) string {
	if view.ListAt.IsZero() {
		return "backend servers not known"
	}
	live, leaving := 0, 0
	for _, server := range view.Servers {
		switch {
		case server.FailureDomain != domain:
		case server.State == platform.InstanceLive:
			live++
		default:
			leaving++
		}
	}
	words := []string{fmt.Sprintf("%d live backend servers", live)}
	if live == 1 {
		words[0] = "1 live backend server"
	}
	if leaving > 0 {
		words = append(words, fmt.Sprintf("%d leaving", leaving))
	}
	return strings.Join(words, ", ")
}

// frontBody is the content of the front page.
type frontBody struct {
	Current *configuration.InForce
	// Known is false until the configuration stream was read to its end once.
	Known bool
	Fleet fleetBody
}

func (s *Server) showFront(r *request) {
	current := s.follower.current()
	body := frontBody{Current: current, Known: s.follower.synced(), Fleet: s.fleetBody(current)}
	s.render(r, "front", "Overview", body)
}

// auditBody is the content of the audit page.
type auditBody struct {
	Trail trail
	Age   string
}

func (s *Server) showAudit(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	read := s.history.read(ctx)
	s.render(r, "audit", "Audit trail", auditBody{Trail: read, Age: age(s.opts.Now(), read.ReadAt)})
}
