package console

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

//go:embed templates/*.html
var templateFiles embed.FS

//go:embed templates/style.css
var styleSheet []byte

// pageNames are the templates that define the content of the layout.
var pageNames = []string{"front", "section", "item", "remove", "switches", "draft", "nodraft", "published", "instance", "audit", "message"}

var pageTemplates = parsePages()

func parsePages() map[string]*template.Template {
	functions := template.FuncMap{"clock": clock, "capital": capitalised}
	layout := template.Must(template.New("layout.html").Funcs(functions).ParseFS(templateFiles, "templates/layout.html", "templates/parts.html"))
	pages := map[string]*template.Template{}
	for _, name := range pageNames {
		page := template.Must(layout.Clone())
		pages[name] = template.Must(page.ParseFS(templateFiles, "templates/"+name+".html"))
	}
	return pages
}

// page is the data of the layout.
type page struct {
	Root     string
	Title    string
	Operator string
	// SignedIn is true on pages of a session.
	SignedIn bool
	CSRF     string
	Flash    string
	Sections []*section
	// Draft is the number of changes in the draft.
	Draft int
	// Outrun is true if another document came into force after the draft was
	// begun.
	Outrun bool
	// LogDown is true if the last read from the log service failed; ReadAge is
	// the age of the configuration shown.
	LogDown bool
	ReadAge string
	Name    string
	Body    any
}

func (s *Server) render(r *request, name, title string, body any) {
	p := page{
		Root: s.root, Title: title, Operator: s.opts.Operator, SignedIn: true, CSRF: r.session.csrf,
		Flash: r.session.flash, Sections: sections(), Name: name, Body: body,
	}
	r.session.flash = ""
	if d := r.session.draft; d != nil {
		p.Draft, p.Outrun = len(d.changes(nil).Items), d.outdated(s.follower.current())
	}
	read := s.follower.observed.state()
	p.LogDown, p.ReadAge = read.Down, age(s.opts.Now(), read.CaughtUpAt)
	s.writePage(r.ctx, name, &p)
}

// messageBody is the content of a page with one message.
type messageBody struct {
	Remedy string
}

// renderMessage answers with a page that has only a title and what to do next.
func (s *Server) renderMessage(ctx *fasthttp.RequestCtx, status int, title, remedy string) {
	ctx.SetStatusCode(status)
	p := &page{Title: title, Name: "message", Body: messageBody{Remedy: remedy}}
	// The random path is not disclosed to a client that did not send it.
	if strings.HasPrefix(string(ctx.Path()), s.root+"/") {
		p.Root = s.root
	}
	s.writePage(ctx, "message", p)
}

func (s *Server) writePage(ctx *fasthttp.RequestCtx, name string, p *page) {
	var out bytes.Buffer
	if err := pageTemplates[name].Execute(&out, p); err != nil {
		logrus.WithError(err).WithField("page", name).Error("can't render page")
		ctx.Error("the page can't be shown; report this fault", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.SetBody(out.Bytes())
}

// age says in plain words how long ago then was; the zero time is never.
func age(now, then time.Time) string {
	if then.IsZero() {
		return "never"
	}
	elapsed := now.Sub(then)
	switch {
	case elapsed < time.Second:
		return "just now"
	case elapsed < 2*time.Minute:
		return fmt.Sprintf("%d s ago", int(elapsed.Seconds()))
	case elapsed < 2*time.Hour:
		return fmt.Sprintf("%d min ago", int(elapsed.Minutes()))
	}
	return fmt.Sprintf("%d h ago", int(elapsed.Hours()))
}

// clock formats a time in UTC for display.
func clock(t time.Time) string { return t.UTC().Format("2 January 2006, 15:04:05 UTC") }

func capitalised(s string) string {
	if s == "" {
		return s
	}
	return strings.ToUpper(s[:1]) + s[1:]
}
