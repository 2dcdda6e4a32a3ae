package entry

import "dotterelgap/core/config"

// view is the configuration, indexed for requests. It is immutable.
type view struct {
	customers map[config.Digest]string
	services  map[string]config.Service
	access    map[string]map[string]config.Access
}

func newView(doc config.Document) *view {
	v := &view{
		customers: map[config.Digest]string{},
		services:  map[string]config.Service{},
		access:    map[string]map[string]config.Access{},
	}
	for name, keys := range doc.Environment.CustomerKeys {
		for _, k := range keys {
			v.customers[k] = name
		}
	}
	for _, s := range doc.Intent.Services {
		v.services[s.Name] = s
	}
	for _, c := range doc.Intent.Customers {
		v.access[c.Name] = map[string]config.Access{}
		for _, a := range c.Services {
			v.access[c.Name][a.Service] = a
		}
	}
	return v
}
