package deployment

import (
	"context"

	"foxtailward.example/foxtailward/internal/standin/service"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/target"
)

// ServiceOptions sets up one plain service with its target process.
type ServiceOptions struct {
	Name    id.Target
	Place   settings.Place
	Service service.Options
	// Slots is how many calls run at once; 0 is the settings' default.
	Slots int
}

// Service is a stand-in plain service with the process beside it.
type Service struct {
	StandIn *service.Server
	Process *target.Process

	deployment *Deployment
	settings   settings.Target
	stop       context.CancelFunc
	done       chan error
}

// Stop makes the target process leave and waits until it has.
func (s *Service) Stop() error {
	s.stop()
	return <-s.done
}

// Kill ends the target process without letting work finish. The service goes
// on.
func (s *Service) Kill() {
	s.Process.Abort()
	<-s.done
}

// Restart starts the target process again after Kill or Stop, as a new
// incarnation at a new address.
func (s *Service) Restart() error { return s.deployment.startBeside(s) }

func (d *Deployment) startServices() error {
	for _, o := range d.opts.Services {
		stand, err := service.Listen(anyPort, o.Service)
		if err != nil {
			return fault.Wrap("Deployment.startServices", NotStarted, err)
		}
		s := &Service{StandIn: stand, deployment: d}
		s.settings = settings.Target{
			Name: o.Name, Place: o.Place, PeerAddress: anyPort, OperatorAddress: anyPort,
			Service: &settings.Service{Name: o.Service.Name, URL: stand.URL(), Slots: o.Slots},
		}
		s.settings.SetDefaults()
		d.Services = append(d.Services, s)
		if err := d.startBeside(s); err != nil {
			return err
		}
	}
	return nil
}

// startBeside starts the target process of a service.
func (d *Deployment) startBeside(s *Service) error {
	s.Process = target.New(s.settings, d.targetDeps())
	if err := s.Process.Listen(); err != nil {
		return err
	}
	s.done = make(chan error, 1)
	s.stop = d.run(s.Process.Run, s.done)
	return nil
}
