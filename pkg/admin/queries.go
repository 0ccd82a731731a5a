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
	// defaultDecisionLimit and maxDecisionLimit bound the number of decisions in a list.
	defaultDecisionLimit = 50
	maxDecisionLimit     = 1000
)

// Queries are the operators' queries, which only read the state of the instance.
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
	s.addOperatorGet(adminapi.PathStatus, func(c fiber.Ctx) error { return c.JSON(q.Status()) })
	s.addOperatorGet(adminapi.PathMembers, func(c fiber.Ctx) error { return sendList(c, q.Members()) })
	s.addOperatorGet(adminapi.PathEndpoints, func(c fiber.Ctx) error { return sendList(c, q.Endpoints()) })
	s.addOperatorGet(adminapi.PathModels, func(c fiber.Ctx) error { return sendList(c, q.Models()) })
	s.addOperatorGet(adminapi.PathDecisions, s.listDecisions)
	s.addOperatorGet(adminapi.PathDecisions+"/:id", s.findDecision)
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
		return invalidRequest("The parameter kind must be routing or placement.")
	}
	limit, err := strconv.Atoi(c.Query(adminapi.QueryLimit, strconv.Itoa(defaultDecisionLimit)))
	if err != nil || limit < 1 || limit > maxDecisionLimit {
		return invalidRequest("The parameter limit must be between 1 and " + strconv.Itoa(maxDecisionLimit) + ".")
	}
	return sendList(c, s.options.Queries.Decisions(kind, limit))
}

func invalidRequest(detail string) error {
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
