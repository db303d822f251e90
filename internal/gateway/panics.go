package gateway

import (
	"net/http"
	"runtime/debug"
)

// logPanic logs and counts a panic, so that a fault met by one request ends that request
// and not the process with all others.
func (g *Gateway) logPanic(during string, value any) {
	g.meters.count("panics")
	g.log.Error("panic", "during", during, "value", value, "stack", string(debug.Stack()))
}

// answerPanic answers a request whose handler panicked. The request may have run.
func (g *Gateway) answerPanic(x *exchange, value any) {
	g.logPanic("request "+x.call.ID, value)
	r := newReply(http.StatusBadGateway, "the request could not be handled")
	r.close = true
	g.config.Codec.Echo(r.header, x.call.ID)
	x.body.markDone()
	select {
	case x.answer <- r:
	default: // it has its answer already
	}
}

// endOnPanic closes the connection if its goroutine panics. It is deferred.
func (c *callerConn) endOnPanic(during string) {
	if value := recover(); value != nil {
		c.gateway.logPanic(during, value)
		c.abort()
	}
}
