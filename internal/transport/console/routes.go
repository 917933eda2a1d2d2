package console

import (
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"
)

// request is one request of a signed-in browser.
type request struct {
	ctx     *fasthttp.RequestCtx
	session *session
	query   url.Values
	// form is nil for GET.
	form url.Values
}

// route handles the requests of one method and path.
type route func(*request)

func (s *Server) allRoutes() map[string]route {
	return map[string]route{
		"GET /":               s.showFront,
		"GET /section":        s.showSection,
		"GET /item":           s.showItem,
		"POST /item":          s.saveItem,
		"GET /remove":         s.showRemove,
		"POST /remove":        s.removeItem,
		"GET /domains":        s.showDomains,
		"POST /domains":       s.saveDomains,
		"GET /withdrawals":    s.showWithdrawals,
		"POST /withdrawals":   s.saveWithdrawals,
		"GET /halts":          s.showHalts,
		"POST /halts":         s.saveHalts,
		"GET /instance":       s.showInstance,
		"GET /draft":          s.showDraft,
		"POST /draft/publish": s.publish,
		"POST /draft/discard": s.discard,
		"POST /draft/redo":    s.rebase,
		"GET /published":      s.showPublished,
		"GET /audit":          s.showAudit,
		"POST /sign-out":      s.signOut,
	}
}

// Handle is the fasthttp handler of all pages.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	setSecurityHeaders(ctx)
	if !s.hostAllowed(ctx) {
		s.renderMessage(ctx, fasthttp.StatusMisdirectedRequest, "This address is not accepted", "Use the address that the console printed, or add the name to host_names in its settings.")
		return
	}
	path := string(ctx.Path())
	switch {
	case path == loginPath && ctx.IsGet():
		s.login(ctx)
	case path == stylePath && ctx.IsGet():
		ctx.SetContentType("text/css; charset=utf-8")
		ctx.SetBody(styleSheet)
	default:
		s.handlePage(ctx, path)
	}
}

func (s *Server) handlePage(ctx *fasthttp.RequestCtx, path string) {
	found := s.sessions.get(string(ctx.Request.Header.Cookie(cookieName)))
	page, underRoot := strings.CutPrefix(path, s.root)
	if found == nil || !underRoot {
		s.renderMessage(ctx, fasthttp.StatusUnauthorized, "You are not signed in", "Open the newest link that the console printed where it was started. It works once.")
		return
	}
	handle, ok := s.routes[string(ctx.Method())+" "+page]
	if !ok {
		s.renderMessage(ctx, fasthttp.StatusNotFound, "There is no such page", "Go back to the overview.")
		return
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	r := &request{ctx: ctx, session: found}
	if !s.readRequest(r) {
		return
	}
	s.confirmPublication(found)
	handle(r)
}

// readRequest parses the query and the form. It accepts a form only with the
// origin of this console and the CSRF token of the session. Otherwise it answers
// the request and returns false.
func (s *Server) readRequest(r *request) bool {
	var err error
	if r.query, err = url.ParseQuery(string(r.ctx.URI().QueryString())); err != nil {
		s.renderMessage(r.ctx, fasthttp.StatusBadRequest, "The address could not be read", "Go back to the overview.")
		return false
	}
	if !r.ctx.IsPost() {
		return true
	}
	if !originAllowed(r.ctx) {
		s.renderMessage(r.ctx, fasthttp.StatusForbidden, "The form does not come from this console", "Load the page of this console again and repeat the step.")
		return false
	}
	if r.form, err = decodeForm(r.ctx.PostBody()); err != nil {
		s.renderMessage(r.ctx, fasthttp.StatusBadRequest, "The form could not be read", err.Error())
		return false
	}
	if !sameSecret(r.form.Get(csrfField), r.session.csrf) {
		s.renderMessage(r.ctx, fasthttp.StatusForbidden, "The form is not from this session", "Load the page again and repeat the step.")
		return false
	}
	return true
}

// confirmPublication replaces the draft by the published document if a
// publication whose outcome was unknown took effect.
func (s *Server) confirmPublication(session *session) {
	current := s.follower.current()
	if session.draft != nil && session.draft.isConfirmedBy(current, s.opts.Operator) {
		session.published, session.draft = current, nil
		session.flash = "Your document was accepted after all: the log service had taken it, and only its answer was lost."
	}
}

// redirect sends the browser to a page of this console.
func (s *Server) redirect(ctx *fasthttp.RequestCtx, page string) {
	ctx.SetStatusCode(fasthttp.StatusSeeOther)
	// A location without a host keeps the one that the browser used.
	ctx.Response.Header.Set("Location", s.root+page)
}
