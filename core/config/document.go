package config

import (
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/parse"
)

// Document is what an operator applies.
type Document struct {
	Intent      Intent      `json:"intent"`
	Environment Environment `json:"environment"`
}

// Intent is the part that a promotion carries over unchanged.
type Intent struct {
	Customers []Customer `json:"customers"`
	Services  []Service  `json:"services"`
}

// Customer is an organisation or shop that pays in advance.
type Customer struct {
	Name string `json:"name"`
	// Weight is the customer's share of a service that is short.
	Weight int `json:"weight"`
	// Services names what the customer may call, and how urgently.
	Services []Access `json:"services"`
}

// Access lets a customer call a service.
type Access struct {
	Service  string   `json:"service"`
	Priority Priority `json:"priority"`
}

// Service is a fleet of engines with one model, or a plain business service.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// MaxOutputTokens caps a model's answer if the caller asks for no less.
	MaxOutputTokens escrow.Tokens `json:"max_output_tokens,omitempty"`
	// TokensPerCall is what a call of a plain service costs.
	TokensPerCall escrow.Tokens `json:"tokens_per_call,omitempty"`
	// RepeatablePaths are the path prefixes of a plain service whose calls are
	// idempotent whatever their method. GET and HEAD always are.
	RepeatablePaths []string `json:"repeatable_paths,omitempty"`
	// Timeout bounds one call from its first byte to its last.
	Timeout parse.Duration `json:"timeout,omitempty"`
}

// TimeoutOr returns the service's timeout, or a default where it has none.
func (s Service) TimeoutOr(def time.Duration) time.Duration {
	if s.Timeout == 0 {
		return def
	}
	return s.Timeout.Std()
}

// Environment is the part that differs between environments.
type Environment struct {
	Name string `json:"name"`
	// CustomerKeys are the SHA-256 digests of each customer's bearer keys.
	CustomerKeys map[string][]Digest `json:"customer_keys"`
	// TopUps are payments; each id counts once.
	TopUps []TopUp `json:"top_ups,omitempty"`
	// Operators are those who may change the configuration.
	Operators []Operator `json:"operators"`
}

// TopUp is a payment of a customer.
type TopUp struct {
	ID       string        `json:"id"`
	Customer string        `json:"customer"`
	Tokens   escrow.Tokens `json:"tokens"`
}

// Operator is a person or program that may use the administration API.
type Operator struct {
	Name string   `json:"name"`
	Keys []Digest `json:"keys"`
}
