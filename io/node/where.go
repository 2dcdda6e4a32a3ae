package node

import (
	"dotterelgap/io/front"
	"dotterelgap/io/wire"
)

// Where returns where a request would go now from this node. Nothing is sent.
func (s *Service) Where(args *wire.WhereArgs, reply *front.Destination) error {
	d, err := s.n.front.Where(args.Host, args.Path, args.Header)
	if err != nil {
		return err
	}
	*reply = d
	return nil
}
