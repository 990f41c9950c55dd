package direct_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestOddRecordInList guards against a target that is taken for gone because another
// writer left an item under its key that can't be decoded.
func TestOddRecordInList(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.target("t2", "10.0.2.1:80", "b", respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.start()
		env.mu.Lock()
		for i := range env.targets {
			env.targets[i].Value, env.targets[i].ModRevision = []byte("odd"), 2
		}
		env.mu.Unlock()
		env.returnStore() // the targets are listed again
		time.Sleep(10 * time.Second)
		synctest.Wait()
		answer := env.do("GET", "/s/x", "a1", "")
		env.is.Equal(answer.status, http.StatusOK)
		env.is.Equal(env.log.count("F0504"), 2) // each item is logged once
	})
}
