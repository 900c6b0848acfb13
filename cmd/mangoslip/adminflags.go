package main

import (
	"flag"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/client"
)

// adminFlags holds the flags of the subcommands that call the admin API of an
// entry.
type adminFlags struct {
	admin  netip.AddrPort
	token  string
	author string
}

func (r *adminFlags) setFlags(f *flag.FlagSet) {
	flags.AddrVar(f, &r.admin, "admin-addr", "127.0.0.1:7081", "admin address of an entry")
	f.StringVar(&r.token, "token", "", "operators' token; prefer MANGOSLIP_TOKEN, because arguments show in process listings")
	f.StringVar(&r.author, "author", "", "your name, stored with the edit")
}

// connect reads the settings and returns a client and the only command-line
// argument. The parameter argument is the noun for it in error messages, such as
// "service".
func (r *adminFlags) connect(f *flag.FlagSet, argument string) (*client.Client, string, error) {
	args, err := r.parse(f)
	if err == nil && len(args) != 1 {
		err = eris.New("name one " + argument)
	}
	if err != nil {
		return nil, "", err
	}
	return client.New(r.admin, r.token), args[0], nil
}

// connectWithoutArgs is connect for a subcommand that takes no argument.
func (r *adminFlags) connectWithoutArgs(f *flag.FlagSet) (*client.Client, error) {
	args, err := r.parse(f)
	if err == nil && len(args) != 0 {
		err = eris.New("it takes no argument")
	}
	return client.New(r.admin, r.token), err
}

// parse reads the settings, requires a token and returns the arguments.
func (r *adminFlags) parse(f *flag.FlagSet) ([]string, error) {
	args, err := flags.FromEnv(f)
	if err == nil && r.token == "" {
		err = eris.New("no token; set MANGOSLIP_TOKEN")
	}
	return args, err
}
