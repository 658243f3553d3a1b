package administrator

import (
	"bufio"
	"net"

	"github.com/valyala/fasthttp"
)

// roundTrip writes req to c, which must be a new connection, and reads the complete response.
func roundTrip(c net.Conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	req.SetConnectionClose()
	w := bufio.NewWriter(c)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return resp.ReadLimitBody(bufio.NewReader(c), maxAnswerBytes)
}
