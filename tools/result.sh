# Results of tests, for tools/check.sh: prints and counts them, and passes over
# those that the file $RED lists. $LOG is the folder with their output.
passed=0
failed=0
red=0

# is_red NAME: returns whether KNOWN-RED.txt lists a test.
is_red() {
	grep -q "^test: $1\$" "$RED"
}

# passes_at_times NAME: returns whether a listed test fails only in some runs.
passes_at_times() {
	grep -A 1 "^test: $1\$" "$RED" | grep -q '^passes: at times$'
}

# fails_as_listed NAME: returns whether a listed test has failed as its entry says.
fails_as_listed() {
	passes_at_times "$1" || return 0
	text=$(sed -n "/^test: $1\$/,/^\$/s/^shows: //p" "$RED")
	[ -n "$text" ] && grep -q -F -- "$text" "$LOG/$1"
}

# note NAME CODE: counts and prints the result of a test.
note() {
	if [ "$2" = 0 ] && { ! is_red "$1" || passes_at_times "$1"; }; then
		passed=$((passed + 1))
		echo "ok $1"
	elif [ "$2" = 0 ]; then
		failed=$((failed + 1))
		echo "FAILED $1: listed in $RED, but it passes"
	elif is_red "$1" && fails_as_listed "$1"; then
		red=$((red + 1))
		echo "known red $1"
		tail -5 "$LOG/$1"
	else
		failed=$((failed + 1))
		echo "FAILED $1"
		tail -40 "$LOG/$1"
	fi
}

# run NAME COMMAND...: runs a test and notes its result.
run() {
	name=$1
	shift
	"$@" >"$LOG/$name" 2>&1
	note "$name" $?
}
