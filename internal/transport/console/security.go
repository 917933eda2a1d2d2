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

// contentSecurityPolicy permits only the console's own style sheet and forms: no
// script, no frame and nothing from another origin.
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

// hostAllowed reports whether the Host header is accepted. This prevents DNS
// rebinding: a foreign name that resolves to this machine does not match.
func (s *Server) hostAllowed(ctx *fasthttp.RequestCtx) bool {
	return slices.Contains(s.hosts, strings.ToLower(string(ctx.Host())))
}

// originAllowed reports whether a form comes from a page of this console.
// Browsers send Origin with every form; a request without it is refused.
func originAllowed(ctx *fasthttp.RequestCtx) bool {
	origin, err := url.Parse(string(ctx.Request.Header.Peek("Origin")))
	if err != nil || (origin.Scheme != "http" && origin.Scheme != "https") {
		return false
	}
	return strings.EqualFold(origin.Host, string(ctx.Host()))
}

// login exchanges the token of the sign-in link for a session cookie. Each link
// works once; using it announces the next one.
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
	// Browsers send cookies to all ports of a host. With the random path, other
	// servers on this machine do not receive the cookie.
	cookie.SetPath(s.root)
	cookie.SetHTTPOnly(true)
	cookie.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	ctx.Response.Header.SetCookie(cookie)
	s.redirect(ctx, "/")
}

// consumeLoginToken reports whether the token is that of the newest link. If so,
// it replaces the token and announces the new link.
func (s *Server) consumeLoginToken(token string) bool {
	next, ok := s.replaceLoginToken(token)
	if ok {
		s.opts.Announce(next)
	}
	return ok
}

// replaceLoginToken replaces the token if it is the given one, and returns the next
// sign-in link.
func (s *Server) replaceLoginToken(token string) (next string, ok bool) {
	s.loginMu.Lock()
	defer s.loginMu.Unlock()
	if !sameSecret(token, s.loginToken) {
		return "", false
	}
	s.loginToken = newSecret()
	return s.loginURLLocked(), true
}

// LoginURL returns the newest sign-in link, which works once.
func (s *Server) LoginURL() string {
	s.loginMu.Lock()
	defer s.loginMu.Unlock()
	return s.loginURLLocked()
}

func (s *Server) loginURLLocked() string {
	return "http://" + s.opts.Listen + loginPath + "?" + loginField + "=" + s.loginToken
}
