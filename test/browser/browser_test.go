// Package browser tests the operators' console in a headless Chromium.
package browser

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/chromedp/chromedp"
	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/document"
)

const (
	testTimeout  = 60 * time.Second
	wideScreen   = 1280 // pixels
	narrowScreen = 400  // pixels
)

// screenshotsEnv names a directory that the screenshots are written to; unset
// for none.
const screenshotsEnv = "MEDLARSLIP_SCREENSHOTS"

func demoDocument(t *testing.T) *document.Document {
	text, err := os.ReadFile("../../examples/demo/document.yaml")
	must.NoError(t, err)
	doc, err := document.Parse(text)
	must.NoError(t, err)
	return doc
}

// startBrowser starts a browser and returns its context, which ends with the test
// or after testTimeout.
func startBrowser(t *testing.T) context.Context {
	path, err := exec.LookPath("chromium")
	must.NoError(t, err, must.Sprint("install Debian's chromium: apt-get install chromium"))
	options := []chromedp.ExecAllocatorOption{
		chromedp.ExecPath(path), chromedp.UserDataDir(t.TempDir()), chromedp.Headless, chromedp.NoSandbox, chromedp.DisableGPU,
		chromedp.NoFirstRun, chromedp.Flag("disable-quic", true), chromedp.Flag("disable-background-networking", true),
		chromedp.Flag("disable-component-update", true), chromedp.Flag("disable-sync", true), chromedp.WindowSize(wideScreen, 900),
	}
	ctx, cancelTimeout := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancelTimeout)
	ctx, cancelAllocator := chromedp.NewExecAllocator(ctx, options...)
	t.Cleanup(cancelAllocator)
	ctx, cancel := chromedp.NewContext(ctx)
	t.Cleanup(cancel)
	must.NoError(t, chromedp.Do(ctx, chromedp.Navigate("about:blank")))
	return ctx
}

// tab drives one browser tab.
type tab struct {
	t   *testing.T
	ctx context.Context
}

func (b *tab) run(actions ...chromedp.Action[chromedp.Void]) {
	b.t.Helper()
	must.NoError(b.t, chromedp.Do(b.ctx, actions...))
}

// get runs an action and returns its value.
func get[T any](b *tab, action chromedp.Action[T]) T {
	b.t.Helper()
	value, err := chromedp.Run(b.ctx, action)
	must.NoError(b.t, err)
	return value
}

// press clicks the link or button whose text starts with the given one, and waits
// for the next page with the given heading.
func (b *tab) press(text, heading string) {
	b.t.Helper()
	get(b, chromedp.Evaluate[string](`document.documentElement.dataset.left = "yes"`))
	b.run(
		chromedp.Click(`//*[self::a or self::button][starts-with(normalize-space(.), "`+text+`")]`),
		chromedp.WaitVisible(`//html[not(@data-left)]//h1[normalize-space(.)="`+heading+`"]`),
	)
}

// text returns the visible text of the page's main element.
func (b *tab) text() string {
	b.t.Helper()
	return get(b, chromedp.Evaluate[string](`document.querySelector("main").innerText`))
}

// mustShow requires that the page shows each of the texts.
func (b *tab) mustShow(parts ...string) {
	b.t.Helper()
	shown := b.text()
	for _, part := range parts {
		must.StrContains(b.t, shown, part)
	}
}

// waitFor reloads the page until it shows a text.
func (b *tab) waitFor(part string) {
	b.t.Helper()
	for !strings.Contains(b.text(), part) {
		must.NoError(b.t, b.ctx.Err(), must.Sprintf("the page does not show %q", part))
		b.run(chromedp.Reload())
	}
}

// fill replaces the value of a text field.
func (b *tab) fill(id, value string) {
	b.t.Helper()
	get(b, chromedp.Evaluate[string](`document.getElementById("`+id+`").value = ""`))
	b.run(chromedp.SendKeys(chromedp.CSS("#"+id), value))
}

// checkLayout checks that the page fits both widths and takes its screenshots.
func (b *tab) checkLayout(name string) {
	b.t.Helper()
	for width, suffix := range map[int64]string{wideScreen: "wide", narrowScreen: "narrow"} {
		b.run(chromedp.EmulateViewport(width, 900))
		overflow := get(b, chromedp.Evaluate[int]("document.documentElement.scrollWidth - window.innerWidth"))
		must.LessEq(b.t, 0, overflow, must.Sprintf("%s is wider than a screen of %d pixels", name, width))
		picture := get(b, chromedp.FullScreenshot(100))
		if dir := os.Getenv(screenshotsEnv); dir != "" {
			must.NoError(b.t, os.WriteFile(filepath.Join(dir, name+"-"+suffix+".png"), picture, 0o600))
		}
	}
	b.run(chromedp.EmulateViewport(wideScreen, 900))
}

// checkLabels fails the test if an input has no label, or if the page does not have
// exactly one h1.
func (b *tab) checkLabels() {
	b.t.Helper()
	const script = `[...document.querySelectorAll('input:not([type=hidden]),select,textarea')].filter(e => e.labels.length === 0).map(e => e.name).concat(document.querySelectorAll('h1').length === 1 ? [] : ['h1'])`
	must.SliceEmpty(b.t, get(b, chromedp.Evaluate[[]string](script)))
}

// signIn opens the console as anna in a new browser.
func signIn(t *testing.T, f *fleet) *tab {
	b := &tab{t: t, ctx: startBrowser(t)}
	b.run(chromedp.Navigate(f.console.LoginURL()), chromedp.WaitVisible(`//h1[.="Overview"]`))
	return b
}

// setQualityTarget sets the quality target of the cascade draft in the form.
func (b *tab) setQualityTarget(target string) {
	b.t.Helper()
	b.press("Cascades and quality targets", "Cascades and quality targets")
	b.press("Change", "Change cascade draft")
	b.fill("field-quality_target", target)
	b.press("Save in the draft", "Cascades and quality targets")
}

// TestPublishChange makes a change in the forms, signs and publishes it, and checks
// the document in force.
func TestPublishChange(t *testing.T) {
	f := newFleet(t, demoDocument(t))
	b := signIn(t, f)
	b.waitFor("in force in 3 of 3 entry instances")
	b.mustShow("Signed by", "ben", "first configuration", "wdh-a", "1 live backend server")
	b.checkLayout("front")

	b.press("Take a failure domain out", "Take failure domains out or bring them back")
	b.checkLabels()
	b.checkLayout("domains")
	b.run(chromedp.Click(chromedp.CSS(`input[name="state-wdh-b"][value="no"]`)))
	b.press("Save and review", "Review and sign")
	b.mustShow("Failure domain wdh-b is taken out", "No backend server that is alive now is left to serve large-1")

	b.press("Cascades and quality targets", "Cascades and quality targets")
	b.checkLayout("section")
	b.press("Change", "Change cascade draft")
	b.fill("field-quality_target", "1.5")
	b.press("Save in the draft", "Change cascade draft")
	b.mustShow("is 1.5; use a number from 0 to 1")
	b.checkLabels()
	b.checkLayout("fault")
	b.fill("field-quality_target", "0.85")
	b.press("Save in the draft", "Cascades and quality targets")

	b.press("Review and sign", "Review and sign")
	b.press("Sign as anna", "Review and sign")
	b.mustShow("the reason is empty", "the box is not ticked")
	b.checkLabels()
	b.checkLayout("review")
	b.fill("reason", "Power work in hall B until 18:00")
	b.run(chromedp.Click(chromedp.CSS(`input[name="warnings_read"]`)))
	b.press("Sign as anna", "Published")
	b.waitFor("in force in 3 of 3 entry instances")
	b.checkLayout("published")

	current := f.inForce(t)
	must.Eq(t, 2, current.Envelope.Number)
	must.Eq(t, "anna", current.Envelope.Operator)
	must.True(t, current.Index.DomainOut("wdh-b"))
	must.Eq(t, 0.85, current.Index.Cascade("draft").QualityTarget)

	b.press("Audit trail", "Audit trail")
	b.mustShow("Document 2 by anna", "Power work in hall B until 18:00", "Document 1 by ben")
	b.checkLayout("audit")
}

// TestConcurrentPublish checks that a draft does not overwrite a document that a
// colleague published in the meantime, and can be reapplied on top of it.
func TestConcurrentPublish(t *testing.T) {
	f := newFleet(t, demoDocument(t))
	b := signIn(t, f)
	b.setQualityTarget("0.9")
	b.press("Take out a failure domain", "Take failure domains out or bring them back")
	b.run(chromedp.Click(chromedp.CSS(`input[name="state-wdh-a"][value="no"]`)))
	b.press("Save and review", "Review and sign")

	f.publishAs(t, "ben", "Cheaper answers for the audit", func(doc *document.Document) {
		doc.Cascades[0].QualityTarget = 0.7
		doc.ClientAccounts[0].MaxInFlight = 300
	})
	b.fill("reason", "Storm warning")
	b.run(chromedp.Click(chromedp.CSS(`input[name="warnings_read"]`)))
	b.press("Sign as anna", "Review and sign")
	b.mustShow("a colleague was faster", "Document 2", "ben", "Cheaper answers for the audit", "quality target from 0.8 to 0.7", "limit of requests in progress from 200 to 300")
	must.Eq(t, 2, f.inForce(t).Envelope.Number)
	b.checkLayout("faster")

	b.press("Make my changes again", "Review and sign")
	b.mustShow("Not applied: changed by both of you", "quality target from 0.8 to 0.9", "Failure domain wdh-a is taken out")
	b.checkLayout("redone")
	b.fill("reason", "Storm warning")
	b.run(chromedp.Click(chromedp.CSS(`input[name="warnings_read"]`)))
	b.press("Sign as anna", "Published")

	current := f.inForce(t)
	must.Eq(t, 3, current.Envelope.Number)
	must.True(t, current.Index.DomainOut("wdh-a"))
	must.Eq(t, 0.7, current.Index.Cascade("draft").QualityTarget)
	must.Eq(t, 300, current.Index.Account("technicians").MaxInFlight)
}

// TestEveryFormFitsTheScreen opens every list and its first forms, and checks their
// labels and widths.
func TestEveryFormFitsTheScreen(t *testing.T) {
	f := newFleet(t, demoDocument(t))
	b := signIn(t, f)
	links := get(b, chromedp.Evaluate[[]string](`[...document.querySelectorAll('nav.side a')].map(a => a.href)`))
	must.SliceNotEmpty(t, links)
	for _, link := range links {
		b.run(chromedp.Navigate(link))
		b.checkLabels()
		name := link[strings.LastIndexAny(link, "/=")+1:]
		b.checkLayout("list-" + name)
		forms := get(b, chromedp.Evaluate[[]string](`[...document.querySelectorAll('main a')].map(a => a.href).filter(h => h.includes('/item?')).slice(0, 2)`))
		for i, form := range forms {
			b.run(chromedp.Navigate(form))
			b.checkLabels()
			b.checkLayout("form-" + name + "-" + []string{"new", "change"}[i])
		}
	}
}
