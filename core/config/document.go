package config

import (
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/parse"
)

// Document is the configuration as an operator writes and applies it.
type Document struct {
	Intent      Intent      `json:"intent"`
	Environment Environment `json:"environment"`
}

// Intent is the block of a document that a promotion copies unchanged.
type Intent struct {
	Customers []Customer `json:"customers"`
	Services  []Service  `json:"services"`
}

// Customer is an organisation or shop that pays in advance.
type Customer struct {
	Name string `json:"name"`
	// Weight is the customer's relative share of a service with too little capacity.
	Weight int `json:"weight"`
	// Services are the services that the customer may call, with the priority of its requests.
	Services []Access `json:"services"`
}

// Access allows a customer to call a service.
type Access struct {
	Service  string   `json:"service"`
	Priority Priority `json:"priority"`
}

// Service is a group of engines that run the same model, or a plain business service.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// MaxOutputTokens limits a model's response unless the caller requests a lower limit.
	MaxOutputTokens escrow.Tokens `json:"max_output_tokens,omitempty"`
	// TokensPerCall is the price of one call of a plain service, in tokens.
	TokensPerCall escrow.Tokens `json:"tokens_per_call,omitempty"`
	// RepeatablePaths are the path prefixes of a plain service under which calls with any
	// method are idempotent. Calls with GET and HEAD always are.
	RepeatablePaths []string `json:"repeatable_paths,omitempty"`
	// Timeout limits the duration of one call, from its first byte to its last.
	Timeout parse.Duration `json:"timeout,omitempty"`
}

// TimeoutOr returns the service's timeout, or def if none is set.
func (s Service) TimeoutOr(def time.Duration) time.Duration {
	if s.Timeout == 0 {
		return def
	}
	return s.Timeout.Std()
}

// Environment is the block of a document that differs between environments.
type Environment struct {
	Name string `json:"name"`
	// CustomerKeys are the SHA-256 digests of each customer's bearer keys.
	CustomerKeys map[string][]Digest `json:"customer_keys"`
	// TopUps are the customers' payments. Each id is credited once.
	TopUps []TopUp `json:"top_ups,omitempty"`
	// Operators are the people and programs that may change the configuration.
	Operators []Operator `json:"operators"`
}

// TopUp is a payment of a customer.
type TopUp struct {
	ID       string        `json:"id"`
	Customer string        `json:"customer"`
	Tokens   escrow.Tokens `json:"tokens"`
}

// Operator is a person or program that may use the admin API.
type Operator struct {
	Name string   `json:"name"`
	Keys []Digest `json:"keys"`
}
