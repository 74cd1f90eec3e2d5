/* The admission queue of a pool. */
#include "admit.h"

#include "check.h"

#define MIN_WEIGHT 0.001
#define WAIT_MARGIN 1.2 /* factor on an expected wait, as waits vary */
#define RETRY_AFTER_MIN_MS 200

struct admit_queue *admit_queue_create(guint max_tickets)
{
	struct admit_queue *queue = g_new0(struct admit_queue, 1);

	g_queue_init(&queue->tickets);
	queue->finish_times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	queue->max_tickets = max_tickets;
	return queue;
}

void admit_queue_free(struct admit_queue *queue)
{
	g_queue_clear(&queue->tickets);
	g_hash_table_destroy(queue->finish_times);
	g_free(queue);
}

/* Orders tickets: batch last, then priority, then virtual start time. */
static gint ticket_cmp(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct admit_ticket *left = a;
	const struct admit_ticket *right = b;

	(void)data;
	if (left->batch != right->batch)
		return left->batch ? 1 : -1;
	if (left->priority != right->priority)
		return left->priority - right->priority;
	if (left->virtual_start == right->virtual_start)
		return -1; /* keeps the order of arrival */
	return left->virtual_start < right->virtual_start ? -1 : 1;
}

/* Returns the virtual finish time of an account, to read or update. */
static double *finish_time_of(struct admit_queue *queue, const char *account)
{
	double *finish = g_hash_table_lookup(queue->finish_times, account);

	if (!finish) {
		finish = g_new0(double, 1);
		g_hash_table_insert(queue->finish_times, g_strdup(account),
				    finish);
	}
	return finish;
}

/* Counts the queued tickets that may be served before this one. */
static guint count_ahead(const struct admit_queue *queue,
			 const struct admit_ticket *ticket)
{
	guint ahead = 0;

	for (GList *node = queue->tickets.head; node; node = node->next) {
		const struct admit_ticket *other = node->data;

		if (other->batch && !ticket->batch)
			break;
		if (other->batch == ticket->batch &&
		    other->priority > ticket->priority)
			break;
		ahead++;
	}
	return ahead;
}

bool admit_check(const struct admit_queue *queue,
		 const struct admit_ticket *ticket,
		 const struct admit_pool *pool, clk_ms now, clk_ms *retry_after)
{
	guint ahead;
	double wait;

	if (pool->capacity > 0 && queue->tickets.length == 0)
		return true;
	ahead = count_ahead(queue, ticket);
	wait = WAIT_MARGIN * (ahead + 1) * pool->service_ms /
	       MAX(pool->slots, 1);
	*retry_after = MAX((clk_ms)wait, RETRY_AFTER_MIN_MS);
	if (queue->tickets.length >= queue->max_tickets)
		return false;
	return ticket->deadline == CLK_NEVER ||
	       now + (clk_ms)(wait + pool->service_ms) < ticket->deadline;
}

void admit_push(struct admit_queue *queue, struct admit_ticket *ticket)
{
	double *finish = finish_time_of(queue, ticket->account);

	dec_assert(!ticket->queued, "a ticket is queued at most once");
	ticket->virtual_start = MAX(*finish, queue->virtual_time);
	*finish = ticket->virtual_start +
		  ticket->tokens / MAX(ticket->weight, MIN_WEIGHT);
	ticket->queued = true;
	g_queue_insert_sorted(&queue->tickets, ticket, ticket_cmp, NULL);
}

struct admit_ticket *admit_peek(const struct admit_queue *queue)
{
	return queue->tickets.head ? queue->tickets.head->data : NULL;
}

struct admit_ticket *admit_pop(struct admit_queue *queue)
{
	struct admit_ticket *ticket = g_queue_pop_head(&queue->tickets);

	if (!ticket)
		return NULL;
	ticket->queued = false;
	queue->virtual_time = MAX(queue->virtual_time, ticket->virtual_start);
	return ticket;
}

void admit_remove(struct admit_queue *queue, struct admit_ticket *ticket)
{
	if (!ticket->queued)
		return;
	ticket->queued = false;
	g_queue_remove(&queue->tickets, ticket);
}
