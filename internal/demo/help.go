package demo

import (
	"fmt"
	"io"
)

// WriteHelp writes what a newcomer can paste into a terminal.
func (f *Fleet) WriteHelp(w io.Writer) error {
	d := f.options.Deployment
	caller, operator := "http://"+f.CallerAddr(), "http://"+f.OperatorAddr()
	village := d.Accounts[len(d.Accounts)-1]
	_, err := fmt.Fprintf(w, `Demo of %[1]s: %[2]d availability zones, %[3]d targets, %[4]d client accounts.
Callers: %[5]s   operators: %[6]s

A streamed answer:
  curl -N %[5]s/v1/chat/completions -H 'Authorization: Bearer %[7]s' -d '{"model":%[8]q,"stream":true,"messages":[{"role":"user","content":%[9]q}]}'
A whole answer:
  curl %[5]s/v1/chat/completions -H 'Authorization: Bearer %[10]s' -d '{"model":%[11]q,"messages":[{"role":"user","content":%[12]q}]}'
A booking, which runs at most once under its key:
  curl %[5]s/v1/services/%[13]s/bookings -H 'Authorization: Bearer %[7]s' -H 'Idempotency-Key: booking-1' -d '{"item":%[14]q,"quantity":3}'
A stock lookup:
  curl %[5]s/v1/services/%[13]s/stock/%[14]s -H 'Authorization: Bearer %[7]s'

The report (in a browser: %[6]s/ with any name and the token as password):
  export ZINNIAQUAY_OPERATOR_URL=%[6]s ZINNIAQUAY_OPERATOR_TOKEN=%[15]s
  go run ./cmd/zinniaquay report
  go run ./cmd/zinniaquay status
  curl %[6]s/v1/config -H 'Authorization: Bearer %[15]s'
Take an availability zone out, and see that it is:
  go run ./cmd/zinniaquay config patch --if-match 1 '{"zones":{%[16]q:{"state":"out"}}}'
  go run ./cmd/zinniaquay report
or the same over HTTP, where the number comes from the ETag of the line above:
  curl -X PATCH %[6]s/v1/config -H 'Authorization: Bearer %[15]s' -H 'Content-Type: application/merge-patch+json' -H 'If-Match: "1"' -d '{"zones":{%[16]q:{"state":"out"}}}'

Other keys are demo-ACCOUNT, for example demo-%[17]s (large). Stop with Ctrl-C.
`,
		d.Name, len(d.Zones), len(d.Targets()), len(d.Accounts), caller, operator,
		village.Key(), d.Models[0].Name, d.Models[0].Prompt,
		d.Accounts[0].Key(), d.Models[1].Name, d.Models[1].Prompt,
		d.Plain, d.Item, f.token, d.Zones[1], d.Accounts[0].Name)
	return err
}
