package direct_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	protocol "foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// dialect returns a Dialect with header names that only these tests use.
func dialect() protocol.Dialect {
	return protocol.Dialect{
		DecodeRequest: func(h http.Header) protocol.RequestMetadata {
			prompt, _ := strconv.Atoi(h.Get("Prompt"))
			var parts []protocol.PartID
			for part := range strings.SplitSeq(h.Get("Parts"), ",") {
				parts = append(parts, protocol.PartID(part))
			}
			return protocol.RequestMetadata{PromptParts: parts, Attempt: protocol.AttemptID(h.Get("Attempt")), Key: catalog.Key(h.Get("Key")), LastEventID: protocol.EventID(h.Get("Last")), Resumes: protocol.AttemptID(h.Get("Resumes")), PromptTokens: prompt}
		},
		Strip: func(h http.Header) { h.Del("Key"); h.Del("Account"); h.Del("Copy-To"); h.Del("Copy-At") },
		EncodeForward: func(h http.Header, m protocol.ForwardMetadata) {
			h.Set("Left", m.Timeout.String())
			h.Set("Target", string(m.Target))
			h.Set("Account", string(m.Account))
			h.Set("Last", string(m.LastEventID))
			h.Set("Copy-To", m.BackupAddress)
			h.Set("Copy-At", m.ResumeFrom.Address)
			h.Set("Copy-Handle", m.ResumeFrom.Handle)
		},
		DecodeResponse: func(_ int, h http.Header) protocol.ResponseMetadata {
			// A malformed value stands for no pause.
			pause, _ := time.ParseDuration(h.Get("Pause"))
			perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64)
			return protocol.ResponseMetadata{
				Attempt: protocol.AttemptID(h.Get("Attempt")), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "",
				Notice: withdrawal.Notice{Leaving: h.Get("Leaving") != "", Pause: pause},
				Limit:  protocol.Limit{Limited: err == nil, PerSecond: protocol.PerSecond(perSecond)},
			}
		},
		CopyCall: func(run protocol.AttemptID, to string) (protocol.Call, error) {
			return protocol.Call{Method: "POST", Path: "/copy", Header: http.Header{"Attempt": {string(run)}, "Copy-To": {to}}}, nil
		},
		DecodeCopyHandle: func(status int, body []byte) (string, error) {
			if status != http.StatusOK {
				return "", fmt.Errorf("status %d", status)
			}
			return string(body), nil
		},
		DecodeIdentity: func(status int, h http.Header) (protocol.Identity, bool) {
			slots, err := strconv.Atoi(h.Get("Slots"))
			return protocol.Identity{Target: id.Target(h.Get("Name")), Slots: slots}, status == http.StatusOK && err == nil
		},
		DecodeName: func(status int, h http.Header) (id.Target, bool) {
			return id.Target(h.Get("Name")), status == http.StatusOK && h.Get("Name") != ""
		},
		ReportCall: func() protocol.Call { return protocol.Call{Method: "GET", Path: reportPath} },
		DecodeReport: func(body []byte) (protocol.TargetReport, bool) {
			text, leaving := strings.CutSuffix(string(body), " leaving")
			born, err := strconv.Atoi(text)
			return protocol.TargetReport{Incarnation: id.Incarnation(born), Leaving: leaving}, err == nil
		},
		FreeCopyCall: func(handle string) protocol.Call {
			return protocol.Call{Method: "DELETE", Path: "/free/" + handle}
		},
		EncodeRefusal: func(h http.Header, a protocol.AttemptID) { h.Set("Attempt", string(a)) },
		ReadyPath:     "/ready",
	}
}
