package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// operatorDo sends an operator's request. The caller closes the body.
func operatorDo(ctx context.Context, method, url string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testbed.OperatorToken)
	return http.DefaultClient.Do(req)
}

// operatorGet reads a document from the operator port of a host. into may be nil.
func operatorGet(ctx context.Context, h *testbed.EntryHost, path string, into any) error {
	resp, err := operatorDo(ctx, http.MethodGet, h.OperatorURL()+path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("GET %s: %s: %.200s", path, resp.Status, data)
	}
	if err != nil || into == nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// operatorCall sends an operator's request within watchTimeout and decodes the answer, also that of a conflict. into may be nil.
func operatorCall(ctx context.Context, method, url string, body io.Reader, into any) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	resp, err := operatorDo(ctx, method, url, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if into == nil || resp.StatusCode >= http.StatusInternalServerError {
		if resp.StatusCode != http.StatusOK {
			text, _ := io.ReadAll(resp.Body)
			return fmt.Errorf("%s %s: %s %.200s", method, url, resp.Status, text)
		}
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
