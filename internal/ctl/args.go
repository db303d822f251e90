package ctl

import "time"

// args holds the options and sub-commands of hornbeamctl.
type args struct {
	Settings string        `arg:"--settings,env:HORNBEAMCTL_SETTINGS" default:"hornbeamctl.toml" help:"settings file"`
	Control  []string      `arg:"--control,separate" placeholder:"IP:PORT" help:"HTTP address of a control host, in place of those in the settings; may be given several times"`
	Operator string        `arg:"--operator" help:"name to sign with, in place of the one in the settings"`
	KeyFile  string        `arg:"--key" placeholder:"FILE" help:"private key file, in place of the one in the settings"`
	JSON     bool          `arg:"--json" help:"print JSON"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"longest time to wait for control hosts"`

	Key     *keyArgs    `arg:"subcommand:key" help:"operator keys"`
	Bundle  *bundleArgs `arg:"subcommand:bundle" help:"check, sign, roll out and read bundles"`
	Drain   *drainArgs  `arg:"subcommand:drain" help:"keep new work away from a target, zone, region or host"`
	Undrain *drainArgs  `arg:"subcommand:undrain" help:"end a drain"`
	Status  *statusArgs `arg:"subcommand:status" help:"version in force, lag and headroom of every host"`

	Explain *explainArgs `arg:"subcommand:explain" help:"collect the log lines of one request in time order"`
}

// Description returns the text at the start of --help.
func (args) Description() string {
	return "hornbeamctl checks, signs and rolls out bundles and shows the state of a deployment."
}

// Epilogue returns the text at the end of --help.
func (args) Epilogue() string {
	return "Exit codes: 0 done, 1 refused or failed, 2 usage or bad input, 3 result unknown."
}

type keyArgs struct {
	New *keyNewArgs `arg:"subcommand:new" help:"create a key pair"`
}

type keyNewArgs struct {
	File string `arg:"positional,required" help:"new file for the private key"`
}

type bundleArgs struct {
	Check   *checkArgs   `arg:"subcommand:check" help:"report all problems of bundle files"`
	Sign    *signArgs    `arg:"subcommand:sign" help:"check a bundle file and write a signed file"`
	Rollout *rolloutArgs `arg:"subcommand:rollout" help:"submit a signed file"`
	History *historyArgs `arg:"subcommand:history" help:"list accepted versions, newest first"`
	Show    *showArgs    `arg:"subcommand:show" help:"print the newest version as TOML, or the header and changes of an older one"`
	Diff    *diffArgs    `arg:"subcommand:diff" help:"list the changes between two files or two versions"`
}

type checkArgs struct {
	Files []string `arg:"positional,required" help:"bundle files"`
}

type signArgs struct {
	File     string `arg:"positional,required" help:"bundle file"`
	Out      string `arg:"--out" placeholder:"FILE" help:"signed file (default: FILE.signed)"`
	Previous string `arg:"--previous" placeholder:"ROOT" help:"root of the previous version; without it the control hosts are asked; 0 for the first version"`
}

type rolloutArgs struct {
	File string `arg:"positional,required" help:"signed file"`
	Wait bool   `arg:"--wait" help:"return once every entry host has the version in force"`
}

type historyArgs struct {
	Limit  int    `arg:"--limit" default:"20" help:"number of versions"`
	Before uint64 `arg:"--before" help:"list versions below this one"`
}

type showArgs struct {
	Version string `arg:"positional" default:"current" help:"version"`
}

type diffArgs struct {
	From string `arg:"positional,required" help:"bundle file, signed file or version"`
	To   string `arg:"positional,required" help:"bundle file, signed file or version"`
}

type drainArgs struct {
	Kind string `arg:"positional,required" help:"target, zone, region or host"`
	Name string `arg:"positional,required" help:"name, or IP:port of a target"`
	Wait bool   `arg:"--wait" help:"return once every entry host has the change in force"`
}

type statusArgs struct{}

type explainArgs struct {
	ID    string   `arg:"positional,required" help:"id of the request"`
	Files []string `arg:"positional" placeholder:"FILE" help:"log files of any processes; standard input if there are none, or for -"`
}
