package deployment

import (
	"context"

	"foxtailward.example/foxtailward/internal/standin/service"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/target"
)

// ServiceOptions configures one plain service and its target process.
type ServiceOptions struct {
	Name    id.Target
	Place   settings.Place
	Service service.Options
	// Slots is the number of calls that run concurrently; 0 means the default of
	// the target's settings.
	Slots int
}

// Service is a stand-in plain service with its target process.
type Service struct {
	StandIn *service.Server
	Process *target.Process

	deployment *Deployment
	settings   settings.Target
	stop       context.CancelFunc
	done       chan error
}

// Stop drains the target process and waits until it has ended.
func (s *Service) Stop() error {
	s.stop()
	return <-s.done
}

// Kill ends the target process at once and aborts its work. The service itself
// keeps running.
func (s *Service) Kill() {
	s.Process.Abort()
	<-s.done
}

// Restart starts the target process again after Kill or Stop. The new process
// has a new incarnation and a new address.
func (s *Service) Restart() error { return s.deployment.startTarget(s) }

func (d *Deployment) startServices() error {
	for _, o := range d.opts.Services {
		standIn, err := service.Listen(anyPort, o.Service)
		if err != nil {
			return fault.Wrap("Deployment.startServices", NotStarted, err)
		}
		s := &Service{StandIn: standIn, deployment: d}
		s.settings = settings.Target{
			Name: o.Name, Place: o.Place, PeerAddress: anyPort, OperatorAddress: anyPort,
			Service: &settings.Service{Name: o.Service.Name, URL: standIn.URL(), Slots: o.Slots},
		}
		s.settings.SetDefaults()
		d.Services = append(d.Services, s)
		if err := d.startTarget(s); err != nil {
			return err
		}
	}
	return nil
}

// startTarget starts the target process of a service.
func (d *Deployment) startTarget(s *Service) error {
	s.Process = target.New(s.settings, d.targetDeps())
	if err := s.Process.Listen(); err != nil {
		return err
	}
	s.done = make(chan error, 1)
	s.stop = d.run(s.Process.Run, s.done)
	return nil
}
