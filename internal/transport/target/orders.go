package target

type orders struct{}

func newOrders(*Process) *orders { return &orders{} }
