/*
 * Ownership of the workers of one data centre: views, grants, takeover
 * (docs/design.md 3.1), hand-over (3.7) and the fence on late starts (3.1).
 *
 * Three instances: 0 leads the first view {0, 1}, 1 is a member and 2 is a
 * newcomer; -DTHREE_MEMBERS starts with {0, 1, 2}. Pauses, slow links, lost
 * messages and an unreachable log need no transitions of their own: no step
 * has a deadline, and time may pass before any of them.
 *
 * Time is a tick that decrements all counters. A member counts LEASE ticks.
 * The leader's clock, and the worker's clock after it, lose DRIFT ticks during
 * a lease; the leader subtracts ALLOWANCE ticks from what it counts.
 *
 * Only views that won are stored, so the stream is a chain: the base of view
 * k is view k - 1. An append that is in flight stays in flight until a view
 * with its base exists. This covers a lost answer, a second append with the
 * same sequence, and an append that arrives after its writer has ended.
 *
 * Mutations are selected by -D flags; docs/MODEL.md lists them.
 */

#ifndef LEASE
#define LEASE 2
#endif
#ifndef VIEWS
#define VIEWS 3
#endif
#define DRIFT 1
#ifdef NO_DRIFT_ALLOWANCE
#define ALLOWANCE 0
#else
#define ALLOWANCE 1
#endif
#define COUNTED (LEASE + DRIFT - ALLOWANCE)

#define BIT(m) (1 << (m))

/* The stream: view k has a leader, a set of members, and the number of
   changes of leader up to it. `cur` is the view in force. */
byte cur = 0;
byte viewLeader[VIEWS];
byte viewMembers[VIEWS];
byte viewTerm[VIEWS];

/* Each instance: the last view that it has read, and its own append. A process
   resigns when it shuts down, so it never leads again. */
byte known[3];
bool pending[3];
byte pendingMembers[3];
bool resigned[3];
byte resignTo[3];

/* The instance list has dropped the instance; its process has ended. */
bool gone[3];

/* The instance has given up its part in a view: one more than that view, or 0.
   It runs on and may join or create a later view. */
byte consent[3];

/* Members whose consent a leader has heard in the view that it knows. */
byte heard[3];

/* Ticks that a newcomer still waits since the instance ended or consented. */
byte outWait[3];

/* A member's own promise, in ticks. */
byte promise[3];

/* Ticks that leader i still counts of member m's grant, at 3 * i + m. */
byte grantLeft[9];

/* One start that is on its way to the worker, and the latest survey. */
bool startSent;
byte startFrom;
byte startTerm;
byte startLeft;
byte surveyTerm;

#define MEMBERS(i) viewMembers[known[i]]
#define RUNS(i) (!gone[i])
#define TAKES_PART(i) (RUNS(i) && consent[i] <= known[i])
#define LEADS(i) (TAKES_PART(i) && viewLeader[known[i]] == i && !resigned[i])
#ifdef NO_UNION
#define PENDING(i) 0
#else
#define PENDING(i) pendingMembers[i]
#endif
#define NEEDED(i) (MEMBERS(i) | PENDING(i))
/* A member that consented never takes over in that view, so its consent counts
   as a grant without end for a leader of the same view. */
#ifdef GONE_NEEDS_NO_GRANT
#define EXEMPT(i, m) gone[m]
#else
#define EXEMPT(i, m) (heard[i] & BIT(m))
#endif
#ifdef CONSENT_WITHOUT_EPOCH
#define CAN_HEAR(i, m) (LEADS(i) && consent[m] > 0 && !(heard[i] & BIT(m)))
#else
#define CAN_HEAR(i, m) \
  (LEADS(i) && consent[m] == known[i] + 1 && !(heard[i] & BIT(m)))
#endif
/* The next view leaves out each member whose consent was heard: the member has
   made no promise for the time in which its grant was not needed, so it has to
   join again and wait. */
#ifdef CONSENT_KEEPS_MEMBER
#define KEPT(i) MEMBERS(i)
#else
#define KEPT(i) (MEMBERS(i) & ~heard[i])
#endif
/* A consent gives up the part in the current view, not in a pending one. */
#define NEEDS_GRANT(i, m) \
  ((PENDING(i) & BIT(m)) || ((MEMBERS(i) & BIT(m)) && !EXEMPT(i, m)))
#define GRANTED(i, m) \
  ((m) == (i) || !NEEDS_GRANT(i, m) || grantLeft[3*(i)+(m)] > 0)
#define MAY_ACT(i) \
  (LEADS(i) && GRANTED(i, 0) && GRANTED(i, 1) && GRANTED(i, 2))

inline clearGrants(w) {
  grantLeft[3*w] = 0; grantLeft[3*w+1] = 0; grantLeft[3*w+2] = 0
}

/* Sends the append of a view that follows the last view read. */
#define CAN_APPEND(i) (RUNS(i) && !pending[i] && known[i] < VIEWS - 1)

#ifdef CONSENT_KEEPS_MEMBER
#define CAN_ADD(i, m) RUNS(m)
#else
#define CAN_ADD(i, m) (RUNS(m) && !(heard[i] & BIT(m)))
#endif

inline append(w, set) {
  pending[w] = true;
  pendingMembers[w] = set
}

/* Reads one record. Grants survive a view of the same leader, because the
   promise of a member does not depend on the view. */
inline read(w) {
  known[w]++;
  pending[w] = false;
  pendingMembers[w] = 0;
  heard[w] = 0;
#ifdef RESIGN_ENDS_WITH_VIEW
  resigned[w] = false;
#endif
  resignTo[w] = 0;
  if
  :: viewLeader[known[w]] == w && viewLeader[known[w] - 1] == w -> skip
  :: else -> clearGrants(w)
  fi;
#ifndef NO_WAIT_AFTER_JOIN
  /* The leader may still hold a lease from before this member's grant was
     needed, so the member waits as if it had granted just now. */
  if
  :: (MEMBERS(w) & BIT(w)) && !(viewMembers[known[w] - 1] & BIT(w)) &&
     viewLeader[known[w]] != w -> promise[w] = LEASE
  :: else -> skip
  fi
#endif
}

/* The member answers only a leader of the view that it has read itself, and
   never while its own takeover is undecided. Request and grant are one step:
   a delay of either only shortens what the leader counts, because it counts
   from the time of the request. */
#ifdef GRANT_DURING_TAKEOVER
#define UNDECIDED(m) false
#else
#define UNDECIDED(m) pending[m]
#endif
#ifdef GRANT_ANY_EPOCH
#define SAME_VIEW(i, m) true
#else
#define SAME_VIEW(i, m) (known[m] == known[i] && viewLeader[known[m]] == (i))
#endif
#define CAN_GRANT(i, m) \
  (LEADS(i) && (m) != (i) && (NEEDED(i) & BIT(m)) && TAKES_PART(m) && \
   SAME_VIEW(i, m) && !UNDECIDED(m))

inline grant(w, p) {
  grantLeft[3*w+p] = COUNTED;
  promise[p] = LEASE
}

#ifdef NO_WAIT_FOR_OWN_GRANT
#define PROMISE_OVER(m) true
#else
#define PROMISE_OVER(m) (promise[m] == 0)
#endif

#ifdef NO_WAIT_AFTER_OUT
#define WAITED(m) true
#else
#define WAITED(m) (outWait[m] == 0)
#endif
#ifdef OUT_WITHOUT_EPOCH
#define CONSENTED(i, m) (consent[m] > 0)
#else
#define CONSENTED(i, m) (consent[m] == known[i] + 1)
#endif
#define OUT(i, m) \
  (!(MEMBERS(i) & BIT(m)) || ((gone[m] || CONSENTED(i, m)) && WAITED(m)))

#define MIN_GRANT(i, m, best) \
  if \
  :: NEEDS_GRANT(i, m) && grantLeft[3*i+m] < best -> \
     best = grantLeft[3*i+m] \
  :: else -> skip \
  fi

#ifdef RESIGN_WITH_OPEN_STARTS
#define STARTS_SETTLED(i) true
#else
#define STARTS_SETTLED(i) !(startSent && startFrom == (i) && startLeft > 0)
#endif

#ifdef CONSENT_DURING_TAKEOVER
#define CONSENT_READY(m) true
#else
#define CONSENT_READY(m) !pending[m]
#endif

/* Smaller builds leave out hand-overs, ends of processes, or the consents of
   some instances. */
#ifdef NO_RESIGN
#define RESIGNS false
#else
#define RESIGNS true
#endif
/* In the build for liveness only instance 0 fails, the views are kept for the
   takeover that follows, and only instance 0 changes its view. */
#ifdef LIVENESS
#define CHANGES(i) ((i) == 0 && known[0] == 0)
#else
#define CHANGES(i) true
#endif
#ifdef NO_DROP
#define DROPS false
#else
#define DROPS true
#endif
#ifndef CONSENTERS
#define CONSENTERS 7
#endif

#ifdef TAKEOVER_KEEPS_LEADER
#define TAKEOVER_MEMBERS(i) MEMBERS(i)
#else
#define TAKEOVER_MEMBERS(i) (MEMBERS(i) & ~BIT(viewLeader[known[i]]))
#endif

proctype Instance(byte i) {
  byte a = (i + 1) % 3;
  byte b = (i + 2) % 3;
  do
  /* Reading the stream. */
  :: d_step { RUNS(i) && known[i] < cur -> read(i) }

  /* Leader: grants. */
  :: d_step { CAN_GRANT(i, a) -> grant(i, a) }
  :: d_step { CAN_GRANT(i, b) -> grant(i, b) }

  /* Member: takeover. */
#ifndef NO_TAKEOVER
  :: d_step { CAN_APPEND(i) && TAKES_PART(i) && (MEMBERS(i) & BIT(i)) &&
       viewLeader[known[i]] != i && PROMISE_OVER(i) ->
     append(i, TAKEOVER_MEMBERS(i)) }
#endif

  /* Leader: adds or removes a member. */
  :: d_step { CHANGES(i) && LEADS(i) && CAN_APPEND(i) && CAN_ADD(i, a) ->
     append(i, KEPT(i) | BIT(a)) }
  :: d_step { CHANGES(i) && LEADS(i) && CAN_APPEND(i) && CAN_ADD(i, b) ->
     append(i, KEPT(i) | BIT(b)) }
#ifndef LIVENESS
  :: d_step { LEADS(i) && CAN_APPEND(i) && (MEMBERS(i) & BIT(a)) ->
     append(i, KEPT(i) & ~BIT(a)) }
  :: d_step { LEADS(i) && CAN_APPEND(i) && (MEMBERS(i) & BIT(b)) ->
     append(i, KEPT(i) & ~BIT(b)) }
#endif

  /* Newcomer: creates a view when every member of the last one has ended or
     consented, itself included. */
  :: d_step { CAN_APPEND(i) && !resigned[i] &&
       (consent[i] > known[i] || !(MEMBERS(i) & BIT(i))) &&
       OUT(i, 0) && OUT(i, 1) && OUT(i, 2) -> append(i, BIT(i)) }

#ifdef STARTS
  /* Leader: starts a task. */
  :: d_step { MAY_ACT(i) && !startSent ->
     startSent = true; startFrom = i; startTerm = viewTerm[known[i]];
     startLeft = COUNTED;
     MIN_GRANT(i, a, startLeft);
     MIN_GRANT(i, b, startLeft) }

  /* Leader: survey of the worker. */
  :: d_step { LEADS(i) && viewTerm[known[i]] > surveyTerm ->
     surveyTerm = viewTerm[known[i]] }
#endif

  /* Leader: hands over to a member, which releases its promise. */
  :: d_step { RESIGNS && TAKES_PART(i) && viewLeader[known[i]] == i &&
       (MEMBERS(i) & BIT(a)) && STARTS_SETTLED(i) ->
     resigned[i] = true; resignTo[i] = BIT(a) }
  :: d_step { RESIGNS && TAKES_PART(i) && viewLeader[known[i]] == i &&
       (MEMBERS(i) & BIT(b)) && STARTS_SETTLED(i) ->
     resigned[i] = true; resignTo[i] = BIT(b) }
  :: d_step { RUNS(i) && known[a] == known[i] && (resignTo[a] & BIT(i)) ->
     promise[i] = 0; resignTo[a] = 0 }
  :: d_step { RUNS(i) && known[b] == known[i] && (resignTo[b] & BIT(i)) ->
     promise[i] = 0; resignTo[b] = 0 }

  /* Gives up its part in the view: at a shutdown, after a pause, or dropped
     from the list. A leader may have starts on the way. */
  :: d_step { (CONSENTERS & BIT(i)) && TAKES_PART(i) && CONSENT_READY(i) ->
     consent[i] = known[i] + 1; outWait[i] = LEASE; heard[i] = 0;
     clearGrants(i) }
  :: d_step { CAN_HEAR(i, a) -> heard[i] = heard[i] | BIT(a) }
  :: d_step { CAN_HEAR(i, b) -> heard[i] = heard[i] | BIT(b) }
  od
}

/* The log service puts an append at an offset, or never does. */
#ifdef NO_BASE_CHECK
#define WINS(i) (pending[i] && cur < VIEWS - 1)
#else
#define WINS(i) (pending[i] && known[i] == cur)
#endif

inline land(w) {
  cur++;
  viewLeader[cur] = w;
  viewMembers[cur] = pendingMembers[w];
  viewTerm[cur] = viewTerm[cur - 1] + (viewLeader[cur - 1] != w)
}

proctype Log() {
  do
  :: d_step { WINS(0) -> land(0) }
  :: d_step { WINS(1) -> land(1) }
  :: d_step { WINS(2) -> land(2) }
  od
}

#define COUNT(x) if :: x > 0 -> x-- :: else fi

proctype Clock() {
  do
  :: d_step { true ->
     COUNT(promise[0]); COUNT(promise[1]); COUNT(promise[2]);
     COUNT(outWait[0]); COUNT(outWait[1]); COUNT(outWait[2]);
     COUNT(grantLeft[1]); COUNT(grantLeft[2]); COUNT(grantLeft[3]);
     COUNT(grantLeft[5]); COUNT(grantLeft[6]); COUNT(grantLeft[7]);
     COUNT(startLeft) }
  od
}

/* The worker runs a start only while its lease is in the future. */
#ifdef NO_FENCE
#define IN_FUTURE true
#else
#define IN_FUTURE (startLeft > 0)
#endif

inline dropStart() {
  startSent = false; startFrom = 0; startTerm = 0; startLeft = 0
}

proctype Worker() {
  do
  :: d_step { startSent && IN_FUTURE ->
     assert(startTerm >= surveyTerm);
     dropStart() }
  :: d_step { startSent && !IN_FUTURE -> dropStart() }
  od
}

inline drop(w) {
  /* The wait since a consent in its last view goes on. */
  if
  :: consent[w] > known[w] -> skip
  :: else -> outWait[w] = LEASE
  fi;
  gone[w] = true; heard[w] = 0; clearGrants(w);
  resigned[w] = false; promise[w] = 0
}

/* The instance list drops an instance after its process has ended. Before
   that, an ended process is the same as one that is paused. */
proctype Platform() {
  do
  :: d_step { DROPS && !gone[0] -> drop(0) }
#ifndef LIVENESS
  :: d_step { DROPS && !gone[1] -> drop(1) }
  :: d_step { DROPS && !gone[2] -> drop(2) }
#endif
  od
}

/* Two instances that may act at the same time. */
#ifdef LIVENESS
/* After the first leader has failed, some instance leads again. */
ltl leads_again { [] (gone[0] -> <> (MAY_ACT(1) || MAY_ACT(2))) }
#endif

#if !defined(STARTS) && !defined(LIVENESS)
active proctype TwoLeaders() {
end:
  atomic {
    (MAY_ACT(0) && MAY_ACT(1)) || (MAY_ACT(0) && MAY_ACT(2)) ||
    (MAY_ACT(1) && MAY_ACT(2)) -> assert(false)
  }
}
#endif

init {
  atomic {
    viewLeader[0] = 0;
    viewTerm[0] = 1;
    surveyTerm = 1;
#ifdef THREE_MEMBERS
    viewMembers[0] = 7;
#else
    viewMembers[0] = 3;
#endif
    run Instance(0); run Instance(1); run Instance(2);
    run Log(); run Clock(); run Worker(); run Platform()
  }
}
