/*
 * The messages between entry hosts: one ONC RPC program.
 *
 * rpcgen makes wire/msg.h and wire/msg_xdr.c of this; `make rpcgen` runs it.
 */
const W_INCARNATION = 72;
const W_ADDRESS = 47;
const W_NAME = 64;
const W_ID = 160;
const W_BODY = 16777216;
const W_ITEMS = 100000;
const W_UPDATES = 8;
const W_MARKS = 8;

/* What is told about one member; see decide/member.h. */
struct w_update {
	string incarnation<W_INCARNATION>;
	string http<W_ADDRESS>;
	string rpc<W_ADDRESS>;
	string data_centre<W_NAME>;
	unsigned int state;
	unsigned int seq;
};

/* What is told about one upstream. */
struct w_mark {
	string upstream<W_NAME>;
	bool leaving;
	unsigned hyper stamp;
};

/* RW_GOSSIP: a datagram; nothing is returned. */
struct w_gossip {
	unsigned int kind;
	unsigned int probe;
	string target<W_INCARNATION>;
	unsigned hyper settings;
	unsigned hyper hosts;
	w_update updates<W_UPDATES>;
	w_mark marks<W_MARKS>;
};

/* What is the same in every attempt at a request; see decide/req.h. */
struct w_attrs {
	string account<W_NAME>;
	string target<W_NAME>;
	string trace<W_NAME>;
	opaque body<W_BODY>;
	bool model;
	bool idempotent;
	bool streaming;
	unsigned hyper body_hash;
};

/* RW_HOME: home and guardian to each other; nothing is returned. */
struct w_home {
	unsigned int kind;
	string from<W_INCARNATION>;
	string to<W_INCARNATION>;
	string home<W_INCARNATION>;
	hyper epoch;
	string id<W_ID>;
	bool want_grant;
	unsigned int grant_no;
	bool copy;
	bool granted;
	w_attrs *attrs;
	hyper time_left;
	string upstream<W_NAME>;
	string stream<W_ID>;
	unsigned int first;
	opaque pieces<W_BODY>;
	unsigned int ends<W_ITEMS>;
	bool ended;
	unsigned int end_kind;
	int end_status;
	unsigned int verdict;
	unsigned int acked;
	bool end_acked;
};

/* One settings object or host. */
struct w_item {
	string key<256>;
	bool deleted;
	opaque value<1048576>;
	hyper mod;
};

/* A replica's items after a revision, or all of them. */
struct w_items {
	bool full;
	hyper revision;
	w_item items<W_ITEMS>;
};

/* RW_SYNC: a full exchange of members, and what settings are missing. */
struct w_sync_args {
	w_update self;
	bool members;
	hyper settings_after;
	hyper hosts_after;
};

struct w_sync_res {
	w_update updates<W_ITEMS>;
	w_mark marks<W_ITEMS>;
	w_items settings;
	w_items hosts;
};

/* Requests of one account that began in one window. */
struct w_count {
	hyper window;
	string account<W_NAME>;
	hyper count;
};

/* Work that a host was asked for in one pool of upstreams. */
struct w_demand {
	string pool<W_NAME>;
	double busy;
};

/* A figure of an account or a worker, which is named by a hash of its name. */
struct w_part {
	unsigned int key;
	double value;
};

/* RW_REPORT: what a host counts, for those that add it up; nothing is
 * returned. */
struct w_report {
	string process<W_INCARNATION>;
	bool full; /* else only what accounts have spent */
	w_count counts<W_ITEMS>;
	w_demand demand<W_ITEMS>;
	w_part spent<W_ITEMS>;
	w_part inflight<W_ITEMS>;
	w_part prompts<W_ITEMS>;
};

/* RW_RELAY: the sums of all other hosts, for one that does not hear their
 * reports itself; nothing is returned. */
struct w_relay {
	string process<W_INCARNATION>;
	unsigned int heard; /* hosts that the sums are of, the sender included */
	bool full; /* else only what accounts have left */
	w_part left<W_ITEMS>; /* of the accounts' limits, over all hosts */
	w_part inflight<W_ITEMS>;
	w_part prompts<W_ITEMS>;
};

program RW_PROGRAM {
	version RW_VERSION {
		void RW_GOSSIP(w_gossip) = 1;
		void RW_HOME(w_home) = 2;
		w_sync_res RW_SYNC(w_sync_args) = 3;
		void RW_REPORT(w_report) = 4;
		void RW_RELAY(w_relay) = 5;
	} = 1;
} = 0x20525750;
