package administrator

import (
	"bufio"
	"net"

	"github.com/valyala/fasthttp"
)

// exchange writes q to a fresh connection and reads the complete response.
func exchange(c net.Conn, q *fasthttp.Request, p *fasthttp.Response) error {
	q.SetConnectionClose()
	w := bufio.NewWriter(c)
	if err := q.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return p.ReadLimitBody(bufio.NewReader(c), maxAnswerSize)
}
