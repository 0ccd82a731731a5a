package main

import (
	"os/exec"
	"runtime"
	"syscall"
)

type spawnCall struct {
	command *exec.Cmd
	result  chan error
}

var spawnCalls = make(chan spawnCall)

// runSpawner starts processes from one thread that lives as long as this process, so that they end with it.
func runSpawner() {
	runtime.LockOSThread()
	for call := range spawnCalls {
		call.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		call.result <- call.command.Start()
	}
}

func spawn(command *exec.Cmd) error {
	call := spawnCall{command, make(chan error, 1)}
	spawnCalls <- call
	return <-call.result
}
