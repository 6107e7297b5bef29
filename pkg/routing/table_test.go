package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func table() *Table {
	return NewTable(&Config{
		Routes: []Route{
			{Name: "short", Host: "h.example", Prefix: "/a/"}, {Name: "long", Host: "h.example", Prefix: "/a/b/"},
			{Name: "other", Host: "other.example", Prefix: "/a/"},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k"}}},
		Services:      []Service{{Name: "s"}},
	})
}

func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"}, {"h.example", "/a/b/x", "long"}, {"h.example", "/a/b", "short"},
		{"H.Example:8080", "/a/b/", "long"}, {"other.example", "/a/b/", "other"},
		{"h.example", "/a", ""}, {"h.example", "/A/", ""}, {"h.example", "/x/../a/", ""}, {"h.example", "//a/", ""},
		{"h.example", "/%61/", ""}, {"nobody.example", "/a/", ""}, {"", "/a/", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		require.Equal(t, c.want, got, "%s%s", c.host, c.path)
	}
}

func TestOrganisationsAndServices(t *testing.T) {
	require.Equal(t, "o", table().Organisation("k").Name)
	require.Nil(t, table().Organisation(""))
	require.NotNil(t, table().Service("s"))
	require.True(t, table().HasOrganisations())
}

func TestShortestStreamObjective(t *testing.T) {
	require.Zero(t, table().ShortestStreamObjective())
	c := &Config{Routes: []Route{
		{Name: "call", Kind: Idempotent, Objective: time.Millisecond}, {Name: "open", Kind: Stream},
		{Name: "long", Kind: Stream, Objective: time.Second}, {Name: "short", Kind: Stream, Objective: 600 * time.Millisecond},
	}}
	require.Equal(t, 600*time.Millisecond, NewTable(c).ShortestStreamObjective())
}

func TestPickFollowsWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 90}, {"b", 10}, {"none", 0}}}
	require.Equal(t, "a", r.Pick(0))
	require.Equal(t, "a", r.Pick(0.89))
	require.Equal(t, "b", r.Pick(0.9))
	require.Equal(t, "b", r.Pick(0.9999999))
	require.Equal(t, "a", (&Route{Targets: []Target{{"a", 0}, {"b", 0}}}).Pick(0.7))
	require.Empty(t, (&Route{}).Pick(0.5))
}
