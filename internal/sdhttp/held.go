package sdhttp

// releaseRequest gives back what is held for the head and the body of a request.
func (c *serverConn) releaseRequest(ex *exchange) {
	c.server.Memory.giveRequest(ex.headHeld)
	ex.headHeld = 0
	c.releaseBody(ex)
}

func (c *serverConn) releaseBody(ex *exchange) {
	c.server.Memory.giveRequest(ex.startHeld)
	c.server.Memory.give(ex.bodyHeld)
	ex.startHeld, ex.bodyHeld = 0, 0
}

// dropUnwritten gives back what is held for answers that will not be written.
func (c *serverConn) dropUnwritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.writeReady()
}

// hold counts the answer of an exchange. mu is held.
func (c *serverConn) hold(ex *exchange) {
	ex.answerHeld = int64(len(ex.response.Body))
	c.unwritten += ex.answerHeld
	c.server.Memory.force(ex.answerHeld - ex.pooled.counted)
	ex.pooled.counted = 0
}

// release gives back what is held for the answer of an exchange. mu is held.
func (c *serverConn) release(ex *exchange) {
	c.releaseAnswer(ex)
	if ex.response.Remainder != nil {
		_ = ex.response.Remainder.Close()
	}
}

// releaseAnswer gives back what is held for the beginning of an answer, or for all of it. mu
// is held.
func (c *serverConn) releaseAnswer(ex *exchange) {
	c.unwritten -= ex.answerHeld
	c.server.Memory.give(ex.answerHeld)
	ex.answerHeld = 0
}
