package main

import (
	"fmt"
	"strings"
)

// mayRepeat reports whether requests on a path may run more than once.
func mayRepeat(path string) bool {
	return strings.HasPrefix(path, "/twice/") || strings.HasPrefix(path, "/resume/") || strings.HasPrefix(path, "/moved/")
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resume")
}

// checkAnswers returns the broken rules that the answers and the runs show.
func checkAnswers(w *World, answers []*Answer) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	say := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	byAttempt := map[string]*Answer{}
	for _, a := range answers {
		byAttempt[a.Attempt] = a
	}
	runs := map[string][]*Run{}
	signatures := map[string]*Run{}
	for _, r := range w.runs {
		runs[r.Attempt] = append(runs[r.Attempt], r)
		signatures[r.Signature] = r
		a := byAttempt[r.Attempt]
		switch {
		case a == nil:
			say("UNASKED %s: no client sent it", r.Attempt)
			continue
		case r.Target != a.Method+" "+a.Path || r.Body != a.Sent:
			say("UNASKED %s: %s %q became %s %q", r.Attempt, a.Path, a.Sent, r.Target, r.Body)
		}
		for _, name := range []string{"Hold", "Pin-Ms", "Kv-Backup", "Kv-From"} {
			if r.Header.Get(name) != "" {
				say("UNASKED %s: header %s", r.Attempt, name)
			}
		}
	}
	for _, a := range answers {
		ran := runs[a.Attempt]
		if !mayRepeat(a.Path) && len(ran) > 1 {
			say("TWICE %s on %s ran %d times", a.Attempt, a.Path, len(ran))
		}
		if !mayRepeat(a.Path) && len(ran) > 0 && (a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421) {
			say("REFUSED %s on %s ran, answered %d", a.Attempt, a.Path, a.Status)
		}
		checkContent(a, signatures, say)
	}
	return append(broken, checkOrders(w)...)
}

func checkContent(a *Answer, signatures map[string]*Run, say func(string, ...any)) {
	run := signatures[a.Signature]
	switch {
	case a.Status == -1:
		say("MIXED %s on %s: %s", a.Attempt, a.Path, a.Err)
	case a.Signature != "" && (run == nil || run.Attempt != a.Attempt):
		say("MIXED %s on %s got the answer %q", a.Attempt, a.Path, a.Signature)
	case a.Signature != "" && run.Status != a.Status && a.Status != 200:
		say("MIXED %s on %s: status %d of %s became %d", a.Attempt, a.Path, run.Status, a.Signature, a.Status)
	case a.Status >= 200 && a.Status < 300 && a.Signature == "":
		say("MIXED %s on %s: success without a signature", a.Attempt, a.Path)
	case a.Status != 200:
	case isStream(a.Path):
		want := ""
		for n := run.firstEvent; n <= run.lastEvent; n++ {
			want += event(a.Attempt, n)
		}
		if a.Complete && a.Body != want {
			say("ORDER %s on %s: complete with %d of %d bytes", a.Attempt, a.Path, len(a.Body), len(want))
		}
		if !a.Complete && !strings.HasPrefix(want, a.Body) {
			say("ORDER %s on %s: broken off with other bytes", a.Attempt, a.Path)
		}
	case a.Complete && a.Body != string(plainBody(a.Attempt)):
		say("MIXED %s on %s: body %.60q", a.Attempt, a.Path, a.Body)
	}
}

// checkOrders returns what breaks the rule of one holder, with the bounds of the site.
func checkOrders(w *World) []string {
	var broken []string
	type last struct {
		holder string
		token  int64
	}
	highest := map[string]last{}
	for _, o := range w.orders {
		h, known := highest[o.Replica]
		switch {
		case known && o.Token < h.token:
			broken = append(broken, fmt.Sprintf("ONE %s: token %d of %s after %d of %s", o.Replica, o.Token, o.Holder, h.token, h.holder))
		case known && o.Token == h.token && o.Holder != h.holder:
			broken = append(broken, fmt.Sprintf("ONE %s: token %d of %s and %s", o.Replica, o.Token, o.Holder, h.holder))
		}
		if !known || o.Token >= h.token {
			highest[o.Replica] = last{o.Holder, o.Token}
		}
	}
	for _, n := range w.notes {
		if strings.Contains(n, "LIMIT") {
			broken = append(broken, n)
		}
	}
	return broken
}
