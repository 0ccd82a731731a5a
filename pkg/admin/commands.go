package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gofiber/fiber/v3"

	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

// Commands are the operators' commands, which change the instance.
type Commands interface {
	// Drain begins a graceful shutdown; further calls have no effect.
	Drain() adminapi.DrainResponse
	// InstanceID returns the id that a drain request must have.
	InstanceID() string
}

func (s *Server) addCommands() {
	s.app.Post(adminapi.PathDrain, s.authenticate, s.drain)
}

func (s *Server) drain(c fiber.Ctx) error {
	var request adminapi.DrainRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return invalidRequest("The body must be a JSON object with the field instanceId.")
	}
	if request.InstanceID != s.options.Commands.InstanceID() {
		return problem.New(problem.TypeInvalidRequest, http.StatusConflict, problem.NotRun,
			"This is instance "+s.options.Commands.InstanceID()+", not "+request.InstanceID+"; nothing was drained.")
	}
	return c.JSON(s.options.Commands.Drain())
}
