package policy

import (
	"testing"
	"time"
)

func TestLoadBudgetFollowsTheWindow(t *testing.T) {
	cfg := &Config{LoadBudgetWindow: 10 * time.Second, LoadBudgetMinimum: 1, LoadBudgetRatio: 0.5}
	budget := &loadBudget{cfg: cfg}
	start := time.Hour
	budget.recordArrival(start)
	budget.recordArrival(start)
	if got := budget.allowance(start); got != 2 {
		t.Fatalf("the allowance of two requests is %v, want 2", got)
	}
	budget.recordCommand(start)
	if !budget.allowsCommand(start) {
		t.Error("the second of two allowed load commands is not allowed")
	}
	budget.recordCommand(start)
	if budget.allowsCommand(start) {
		t.Error("a third load command is allowed with a budget of two")
	}
	if !budget.allowsQueuedCommand(start) {
		t.Error("a load command that was counted already may not be sent")
	}
	budget.withdrawArrival(start)
	if budget.allowsQueuedCommand(start) {
		t.Error("a canceled request still counts")
	}
	if later := start + cfg.LoadBudgetWindow + time.Second; !budget.allowsCommand(later) {
		t.Error("load commands still count after the window")
	}
}

func TestLoadBudgetWithoutAWindowBoundsNothing(t *testing.T) {
	budget := &loadBudget{cfg: &Config{}}
	for range 3 {
		budget.recordCommand(time.Hour)
	}
	if !budget.allowsCommand(time.Hour) || !budget.allowsQueuedCommand(time.Hour) {
		t.Error("a load command is not allowed although there is no budget")
	}
}
