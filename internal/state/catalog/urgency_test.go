package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

func TestUrgencyOf(t *testing.T) {
	is := is.New(t)
	one, five := 1, 5
	services := []catalog.WeightedService{{Service: id.Service("m"), Weight: 1}}
	cfg := catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "less", Host: "h", PathPrefix: "/l/", Services: services, Kind: catalog.Safe, Priority: 2},
			{Name: "urgent", Host: "h", PathPrefix: "/u/", Services: services, Kind: catalog.Safe, Priority: 0},
		},
		Accounts: []catalog.ClientAccount{{Name: "one", Priority: &one}, {Name: "five", Priority: &five}, {Name: "none"}},
	}
	is.NoErr(cfg.ValidateAndIndex())
	less, urgent := &cfg.Routes[0], &cfg.Routes[1]
	oneOf, fiveOf, none := &cfg.Accounts[0], &cfg.Accounts[1], &cfg.Accounts[2]
	var got []int
	got = append(got, cfg.UrgencyOf(urgent, none), cfg.UrgencyOf(urgent, oneOf), cfg.UrgencyOf(less, oneOf),
		cfg.UrgencyOf(less, none), cfg.UrgencyOf(urgent, fiveOf), cfg.UrgencyOf(less, fiveOf))
	is.Equal(got, []int{0, 1, 2, 3, 4, 5}) // by the account's priority first, then by the route's
	is.Equal(cfg.UrgencyOf(less, nil), cfg.UrgencyOf(less, none))
}
