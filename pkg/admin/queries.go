package admin

import (
	"net/http"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const (
	// defaultLimit and maxLimit bound a list of decisions.
	defaultLimit = 50
	maxLimit     = 1000
)

// Queries read the state of the instance; none changes anything.
type Queries interface {
	Status() adminapi.Status
	Members() []adminapi.Member
	Endpoints() []adminapi.Endpoint
	Models() []adminapi.Model
	Decision(id string) (decisions.Record, bool)
	Decisions(kind decisions.Kind, limit int) []decisions.Record
}

func (s *Server) addQueries() {
	q := s.options.Queries
	s.get(adminapi.PathStatus, func(c fiber.Ctx) error { return c.JSON(q.Status()) })
	s.get(adminapi.PathMembers, func(c fiber.Ctx) error { return sendList(c, q.Members()) })
	s.get(adminapi.PathEndpoints, func(c fiber.Ctx) error { return sendList(c, q.Endpoints()) })
	s.get(adminapi.PathModels, func(c fiber.Ctx) error { return sendList(c, q.Models()) })
	s.get(adminapi.PathDecisions, s.listDecisions)
	s.get(adminapi.PathDecisions+"/:id", s.findDecision)
}

func sendList[T any](c fiber.Ctx, items []T) error {
	if items == nil {
		items = []T{}
	}
	return c.JSON(adminapi.List[T]{Items: items})
}

func (s *Server) listDecisions(c fiber.Ctx) error {
	kind := decisions.Kind(c.Query(adminapi.QueryKind, string(decisions.Placement)))
	if kind != decisions.Placement && kind != decisions.Routing {
		return invalid("The parameter kind must be routing or placement.")
	}
	limit, err := strconv.Atoi(c.Query(adminapi.QueryLimit, strconv.Itoa(defaultLimit)))
	if err != nil || limit < 1 || limit > maxLimit {
		return invalid("The parameter limit must be between 1 and " + strconv.Itoa(maxLimit) + ".")
	}
	return sendList(c, s.options.Queries.Decisions(kind, limit))
}

func invalid(detail string) error {
	return problem.New(problem.TypeInvalidRequest, http.StatusBadRequest, problem.NotRun, detail)
}

func (s *Server) findDecision(c fiber.Ctx) error {
	record, found := s.options.Queries.Decision(c.Params("id"))
	if !found {
		return problem.New(problem.TypeNotFound, http.StatusNotFound, problem.NotRun,
			"This instance keeps no decision with this id; another instance may, or it was too long ago.")
	}
	return c.JSON(record)
}
