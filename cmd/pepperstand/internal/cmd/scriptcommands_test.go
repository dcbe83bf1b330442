package cmd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	addressTimeout = 30 * time.Second
	addressPause   = 5 * time.Millisecond
	callTimeout    = 30 * time.Second
)

// addressCmd waits until a process has written its address into a file, and sets a
// variable to the address.
func addressCmd(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: address VARIABLE FILE")
	}
	file := ts.MkAbs(args[1])
	for end := time.Now().Add(addressTimeout); time.Now().Before(end); time.Sleep(addressPause) {
		data, err := os.ReadFile(file)
		if address, whole := strings.CutSuffix(string(data), "\n"); err == nil && whole {
			ts.Setenv(args[0], address)
			return
		}
	}
	ts.Fatalf("no address in %s", args[1])
}

// httpCall makes one request, over HTTP/2 in clear text if the method begins
// with "h2:", and prints the answer.
func httpCall(args []string) int {
	if len(args) < 2 || len(args) > 3 {
		fmt.Fprintln(os.Stderr, "usage: httpcall [h2:]METHOD URL [BODY]")
		return 2
	}
	method, h2 := strings.CutPrefix(args[0], "h2:")
	var protocols http.Protocols
	protocols.SetHTTP1(!h2)
	protocols.SetUnencryptedHTTP2(h2)
	body := strings.Join(args[2:], "")
	r, err := http.NewRequest(method, args[1], strings.NewReader(body))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c := &http.Client{Transport: &http.Transport{Protocols: &protocols}, Timeout: callTimeout}
	resp, err := c.Do(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	fmt.Printf("%d %s\n", resp.StatusCode, strings.TrimSpace(string(answer)))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
