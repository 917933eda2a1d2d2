package console

import (
	"net/url"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	cookieName = "medlarslip_console"
	csrfField  = "csrf"
	loginPath  = "/login"
	loginField = "token"
	stylePath  = "/style.css"
)

// contentSecurityPolicy permits the console's own style sheet and forms, and
// nothing else: no script, no frame, no outside asset.
const contentSecurityPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'"

func setSecurityHeaders(ctx *fasthttp.RequestCtx) {
	h := &ctx.Response.Header
	h.Set("Content-Security-Policy", contentSecurityPolicy)
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("X-Frame-Options", "DENY")
	// With no-referrer, browsers would send Origin: null with forms.
	h.Set("Referrer-Policy", "same-origin")
	h.Set("Cross-Origin-Opener-Policy", "same-origin")
	h.Set("Cross-Origin-Resource-Policy", "same-origin")
	h.Set("Cache-Control", "no-store")
}

// hostAllowed protects against DNS rebinding: a foreign name that is made to
// point to this machine does not match.
func (s *Server) hostAllowed(ctx *fasthttp.RequestCtx) bool {
	return slices.Contains(s.hosts, strings.ToLower(string(ctx.Host())))
}

// originAllowed accepts a form only from a page of this console. Browsers
// send Origin with every form; a request without it is refused.
func originAllowed(ctx *fasthttp.RequestCtx) bool {
	origin, err := url.Parse(string(ctx.Request.Header.Peek("Origin")))
	if err != nil || (origin.Scheme != "http" && origin.Scheme != "https") {
		return false
	}
	return strings.EqualFold(origin.Host, string(ctx.Host()))
}

// login exchanges the token of the sign-in link for a session cookie. A link
// works once; the next one is announced at once.
func (s *Server) login(ctx *fasthttp.RequestCtx) {
	if !s.consumeLoginToken(string(ctx.QueryArgs().Peek(loginField))) {
		s.renderMessage(ctx, fasthttp.StatusForbidden, "This sign-in link is used up", "Use the newest link that the console printed where it was started.")
		return
	}
	added := s.sessions.add()
	cookie := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(cookie)
	cookie.SetKey(cookieName)
	cookie.SetValue(added.id)
	// Cookies are shared between the ports of a host. The random path keeps
	// the cookie from any other server on this machine.
	cookie.SetPath(s.root)
	cookie.SetHTTPOnly(true)
	cookie.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	ctx.Response.Header.SetCookie(cookie)
	s.redirect(ctx, "/")
}

// consumeLoginToken reports whether the token is the one in the newest link, and
// replaces it if so.
func (s *Server) consumeLoginToken(token string) bool {
	s.loginMu.Lock()
	defer s.loginMu.Unlock()
	if !sameSecret(token, s.loginToken) {
		return false
	}
	s.loginToken = newSecret()
	s.opts.Announce(s.loginURLLocked())
	return true
}

// LoginURL returns the sign-in link, which works once.
func (s *Server) LoginURL() string {
	s.loginMu.Lock()
	defer s.loginMu.Unlock()
	return s.loginURLLocked()
}

func (s *Server) loginURLLocked() string {
	return "http://" + s.opts.Listen + loginPath + "?" + loginField + "=" + s.loginToken
}
