/*
 * The messages between entry hosts: one ONC RPC program.
 *
 * `make rpcgen` generates wire/msg.h and wire/msg_xdr.c from this file.
 */
const W_INCARNATION = 72;
const W_ADDRESS = 47;
const W_NAME = 64;
const W_ID = 160;
const W_BODY = 16777216;
const W_ITEMS = 100000;
const W_UPDATES = 8;
const W_MARKS = 8;
const W_ORIGINS = 64;
const W_LINKS = 32; /* workers in one question about links */
const W_BUCKETS = 32; /* of a histogram */
const W_ROWS = 256;

/* The gossiped state of one member; see decide/member.h. */
struct w_update {
	string incarnation<W_INCARNATION>;
	string http<W_ADDRESS>;
	string rpc<W_ADDRESS>;
	string data_centre<W_NAME>;
	unsigned int state;
	unsigned int seq;
};

/* A leaving notice: whether an upstream is leaving. */
struct w_mark {
	string upstream<W_NAME>;
	bool leaving;
	unsigned hyper stamp;
};

/* RW_GOSSIP: a membership datagram; no reply is sent. */
struct w_gossip {
	unsigned int kind;
	unsigned int probe;
	string target<W_INCARNATION>;
	unsigned hyper settings;
	unsigned hyper hosts;
	w_update updates<W_UPDATES>;
	w_mark marks<W_MARKS>;
};

/* The attributes shared by all attempts at a request; see decide/req.h. */
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

/* RW_HOME: a message between a primary and a standby; no reply is sent. */
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

/* One settings object or host record. */
struct w_item {
	string key<256>;
	bool deleted;
	opaque value<1048576>;
	hyper mod;
};

/* The items of a replica that changed after a revision, or all of them. */
struct w_items {
	bool full;
	hyper revision;
	w_item items<W_ITEMS>;
};

/* RW_SYNC: a full exchange of members, and a request for missing settings. */
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

/* The result of RW_SYNC_PACKED: a w_sync_res, encoded and compressed. */
struct w_packed {
	unsigned int size; /* in bytes, before it was compressed */
	opaque data<W_BODY>;
};

/* Number of requests of one account that started in one window. */
struct w_count {
	hyper window;
	string account<W_NAME>;
	hyper count;
};

/* The demand that a host received for one pool of upstreams. */
struct w_demand {
	string pool<W_NAME>;
	double busy;
};

/* A value of an account or a worker; key is a hash of its name. */
struct w_part {
	unsigned int key;
	double value;
};

/* RW_REPORT: a host's counts, sent to the hosts that aggregate them; no reply
 * is sent. */
struct w_report {
	string process<W_INCARNATION>;
	bool full; /* otherwise only the accounts' spending */
	w_count counts<W_ITEMS>;
	w_demand demand<W_ITEMS>;
	w_part spent<W_ITEMS>;
	w_part inflight<W_ITEMS>;
	w_part prompts<W_ITEMS>;
};

/* RW_RELAY: the aggregated reports of all other hosts, sent by a relay to a
 * host that does not receive their reports itself; no reply is sent. */
struct w_relay {
	string process<W_INCARNATION>;
	unsigned int heard; /* hosts that the sums cover, including the sender */
	bool full; /* otherwise only the accounts' remaining limits */
	w_part left<W_ITEMS>; /* of the accounts' limits, over all hosts */
	w_part inflight<W_ITEMS>;
	w_part prompts<W_ITEMS>;
};

/* Number of requests that one process started for an account in a window. */
struct w_process_count {
	string process<W_INCARNATION>;
	w_count count;
};

/* RW_GROUP: the sums over a relay and the hosts that report to it, sent to the
 * other relays; no reply is sent. */
struct w_group {
	string process<W_INCARNATION>; /* of the relay */
	unsigned int reporting; /* hosts in the sums, the relay included */
	bool full; /* otherwise without inflight, prompts and demand */
	w_part spent<W_ITEMS>; /* by accounts, since the relay started */
	w_part inflight<W_ITEMS>;
	w_part prompts<W_ITEMS>;
	w_demand demand<W_ITEMS>;
	w_process_count counts<W_ITEMS>; /* those that have changed */
};

/* RW_PERMIT_ASK: a datagram to the issuer of a worker's permits, answered with
 * RW_PERMIT_GRANT; see decide/permit.h. */
struct w_permit_ask {
	string process<W_INCARNATION>;
	string worker<W_NAME>;
	hyper started_at; /* of the worker's process */
	double limit; /* that the worker names, requests a second; < 0: none */
	bool seen; /* the sender has just learned it from the worker */
	unsigned int number; /* repeated in the answer */
	unsigned int wanted; /* permits */
};

/* RW_PERMIT_GRANT: the answer, or, with number 0, what an issuer tells all
 * other hosts of a limit. */
struct w_permit_grant {
	string process<W_INCARNATION>;
	string worker<W_NAME>;
	hyper started_at;
	double limit; /* < 0: the worker names none any more */
	unsigned int number;
	unsigned int count;   /* permits */
	double wait; /* ms until the first one begins */
	double gap; /* ms between two */
	unsigned int retry; /* ms until it is worth asking again */
};

/* A stream and the software version that began it; see decide/origin.h. */
struct w_origin {
	unsigned hyper stream;
	unsigned int software; /* 0: not known */
};

/* RW_ORIGIN_KEEP: a datagram to a host that is to keep streams. */
struct w_origin_keep {
	w_origin streams<W_ORIGINS>;
};

/* RW_ORIGIN_ASK: a datagram that asks for the version of a stream, answered with
 * RW_ORIGIN_ANSWER. */
struct w_origin_ask {
	string process<W_INCARNATION>;
	string pool<W_NAME>;
	unsigned hyper stream;
};

struct w_origin_answer {
	string process<W_INCARNATION>;
	w_origin stream;
	unsigned int versions; /* that the pool has had lately */
	bool settled; /* the sender has run for ORIGIN_KEEP_MS */
};

/* RW_FULL: a datagram to all hosts: a brittle worker has rejected requests of
 * which it had accepted as many before; see decide/fleet-brittle.c. */
struct w_full {
	string process<W_INCARNATION>;
	string worker<W_NAME>;
	unsigned int count; /* of these requests */
};

/* RW_LINKS_ASK: a datagram to a host that is asked whether it hears the workers
 * of a pool, answered with RW_LINKS_ANSWER if it knows; see decide/links.h. */
struct w_links {
	string process<W_INCARNATION>; /* of the sender */
	string pool<W_NAME>;
	bool hears; /* any worker; in the answer */
	/* Keys of workers that are silent for the asking host; in the answer,
	 * those of them that the answering one hears. */
	unsigned int workers<W_LINKS>;
};

/* What hosts have seen of the time between two events of a worker's streams. */
struct w_speed {
	unsigned int key;    /* aggregate_key of the worker's id */
	unsigned int weight; /* in thousandths of an observation */
	/* Mean of the logarithms of the times in ms plus 1, in thousandths. */
	unsigned int mean;
};

/* RW_SPEEDS: no reply is sent; see decide/fleet-speed.c. */
struct w_speeds {
	string process<W_INCARNATION>;
	/* 0: of the sender alone; 1: of a relay and the hosts that report to
	 * it; 2: of all hosts but the one that gets it. */
	unsigned int scope;
	w_speed workers<W_ITEMS>;
};

/* The responses of one side's workers for a route; see decide/rollout.h. */
struct w_rollout_row {
	string route<W_NAME>;
	bool target; /* of the version that is rolled out */
	unsigned int ended;
	unsigned int failed;
	unsigned int times<W_BUCKETS>;
};

/* RW_ROLLOUT: what a host has counted since the order of a roll-out, sent to
 * the hosts that may lead; the next message makes up for a lost one. A host
 * that is told of an older phase than it knows answers with its own. No reply
 * is sent. */
struct w_rollout {
	string process<W_INCARNATION>;
	string service<W_NAME>;
	string order<W_NAME>;
	unsigned int phase; /* that the sender knows */
	bool answer; /* it has no rows, and is not answered */
	w_rollout_row rows<W_ROWS>;
};

program RW_PROGRAM {
	version RW_VERSION {
		void RW_GOSSIP(w_gossip) = 1;
		void RW_HOME(w_home) = 2;
		w_sync_res RW_SYNC(w_sync_args) = 3;
		void RW_REPORT(w_report) = 4;
		void RW_RELAY(w_relay) = 5;
		void RW_GROUP(w_group) = 6;
		w_packed RW_SYNC_PACKED(w_sync_args) = 7;
		void RW_PERMIT_ASK(w_permit_ask) = 8;
		void RW_PERMIT_GRANT(w_permit_grant) = 9;
		void RW_ORIGIN_KEEP(w_origin_keep) = 10;
		void RW_ORIGIN_ASK(w_origin_ask) = 11;
		void RW_ORIGIN_ANSWER(w_origin_answer) = 12;
		void RW_FULL(w_full) = 13;
		void RW_LINKS_ASK(w_links) = 14;
		void RW_LINKS_ANSWER(w_links) = 15;
		void RW_SPEEDS(w_speeds) = 17;
		void RW_ROLLOUT(w_rollout) = 16;
	} = 1;
} = 0x20525750;
