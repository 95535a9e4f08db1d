/*
 * Tickets: one stream, two operators, three readers (docs/design.md 3.3, 3.4).
 *
 * Each operator submits one ticket, written against the newest state that its
 * instance shows, so the two tickets either have one base or follow each other.
 * An append is answered, lost before it took effect, or late; the same sequence
 * is appended again at most once, by operator 0. One reader also writes a
 * checkpoint.
 *
 * Readers: 0 reads from the start; 1 is cut off from the log and from its peers
 * and healed; 2 starts late, when the oldest records may have been dropped.
 * Operator w is connected to reader w.
 *
 * No step of a reader has a deadline, so a reader that is cut off or late is the
 * same as a slow one. Cuts and late starts are therefore steps only in the build
 * for liveness (-DLIVENESS), as are appends that never take effect.
 *
 * Mutations are selected by -D flags; docs/MODEL.md lists them.
 */

#define READERS 3
#ifdef LIVENESS
#define LENGTH 3
#else
#define LENGTH 4
#endif
#define CHECKPOINT 2
#define NONE 15

#define BIT(w) (1 << (w))

/* The stream: a record is the ticket of writer 0 or 1, or the checkpoint. */
byte first = 0;
byte tail = 0;
byte kind[LENGTH];

/* The checkpoint: not written yet, appended, or on the stream. */
byte checkpoint = 0;
byte checkNumber;
byte checkThrough;
byte checkSeen;

/* Operators: the ticket, its appends in flight, and what was answered. The
   number follows from writer and base, so two tickets never share one. */
bool submitted[2];
byte base[2];
byte appends[2];
byte inFlight[2];
byte answer[2];
#define NUMBER(w) (base[w] + 1 + (w))

/* Verdicts: by offset, and on the first record of each ticket. */
#define ACCEPTED 1
#define REFUSED 2
#define REPEAT 3
byte verdict[LENGTH];
byte outcome[2];
byte newest = 0;

/* The number after each prefix of the stream, plus one; 0 when not known. */
byte numberAfter[LENGTH + 1];

/* Readers: the state folded from the records before `through`, the identities
   among them, the next offset to read, and the number that is in force. While
   records are missing the state is not folded on; `runFrom` is the start of the
   unbroken run of records that wait. */
bool live[READERS];
bool cut = false;
byte cuts = 0;
byte number[READERS];
byte seen[READERS];
byte through[READERS];
byte next[READERS];
bool waits[READERS];
byte runFrom[READERS];
byte shown[READERS];

#define CONNECTED(r) (live[r] && !((r) == 1 && cut))

inline putInForce(r, value) {
#ifdef SNAPSHOT_GOES_BACK
  assert(value >= shown[r]);
  shown[r] = value
#else
  if
  :: value > shown[r] -> shown[r] = value
  :: else -> skip
  fi
#endif
}

/* Judges the ticket of writer w at offset o. */
#ifdef NO_SEQUENCE_CHECK
#define IS_REPEAT(r, w) false
#else
#define IS_REPEAT(r, w) (seen[r] & BIT(w))
#endif
#ifdef NO_BASE_CHECK
#define FOLLOWS(r, w) (NUMBER(w) > number[r])
#else
#define FOLLOWS(r, w) (base[w] == number[r])
#endif

inline judge(r, w, o) {
  if
  :: IS_REPEAT(r, w) -> got = REPEAT
  :: else ->
     seen[r] = seen[r] | BIT(w);
     if
     :: FOLLOWS(r, w) -> number[r] = NUMBER(w); got = ACCEPTED
     :: else -> got = REFUSED
     fi;
     /* A ticket has one outcome, whichever of its records is read. */
     assert(outcome[w] == 0 || outcome[w] == got);
     outcome[w] = got;
     /* The operator was not told otherwise. */
     assert(answer[w] == 0 || answer[w] == got);
     /* The operator is answered after its record has been read back. */
     answer[w] = (r == w -> got : answer[w]);
     if
     :: got == ACCEPTED ->
        /* At most one of two tickets with one base is accepted. */
        assert(!(outcome[1 - w] == ACCEPTED && base[1 - w] == base[w]));
        newest = (newest < NUMBER(w) -> NUMBER(w) : newest)
     :: else ->
        /* The first ticket with a base that is current is accepted. */
        assert(number[r] != base[w])
     fi
  fi;
  /* All readers agree on the verdict at an offset. */
  assert(verdict[o] == 0 || verdict[o] == got);
  verdict[o] = got;
  got = 0
}

/* Folds the records that have been read. */
inline fold(r) {
  do
  :: through[r] < next[r] ->
     if
     :: kind[through[r]] != CHECKPOINT ->
        judge(r, kind[through[r]], through[r])
     :: else -> skip
     fi;
     through[r]++
  :: else -> break
  od;
  /* All readers of a prefix have the same state. */
  assert(numberAfter[through[r]] == 0 ||
    numberAfter[through[r]] == number[r] + 1);
  numberAfter[through[r]] = number[r] + 1;
  putInForce(r, number[r])
}

inline replace(r, newNumber, newThrough, newSeen) {
  number[r] = newNumber;
  through[r] = newThrough;
#ifdef STATE_WITHOUT_IDENTITIES
  seen[r] = 0;
#else
  seen[r] = newSeen;
#endif
#ifdef GAP_FILLED_IN_PART
  if
  :: through[r] < runFrom[r] -> through[r] = runFrom[r]
  :: else -> skip
  fi;
#endif
  if
  :: next[r] < newThrough -> next[r] = newThrough
  :: else -> skip
  fi
}

/* A state fills a gap when no record lies between it and the waiting ones. */
#ifdef GAP_FILLED_IN_PART
#define JOINS(r, offset) true
#else
#define JOINS(r, offset) ((offset) >= runFrom[r])
#endif

inline readNext(r) {
  if
  :: next[r] < first ->
#ifdef NO_WAIT_FOR_MISSING
     through[r] = first;
#else
     waits[r] = true;
#endif
     next[r] = first; runFrom[r] = first
  :: else -> skip
  fi;
  next[r]++;
  if
  :: !waits[r] -> fold(r)
  :: waits[r] && kind[next[r] - 1] == CHECKPOINT && JOINS(r, checkThrough) ->
     waits[r] = false;
     replace(r, checkNumber, checkThrough, checkSeen);
     fold(r)
  :: else -> skip
  fi
}

/* A snapshot of peer p; it may be older than the reader's state. */
#ifdef SNAPSHOT_GOES_BACK
#define NEWER(r, p) (through[p] != through[r])
#else
#define NEWER(r, p) (number[p] > shown[r])
#endif
#define FILLS(r, p) (waits[r] && !waits[p] && JOINS(r, through[p]))
#ifdef NO_PEER_STATE
#define HELPS(r, p) false
#else
#define HELPS(r, p) \
  (CONNECTED(r) && CONNECTED(p) && (FILLS(r, p) || NEWER(r, p)))
#endif

inline takeSnapshot(r, p) {
  if
  :: FILLS(r, p) ->
     waits[r] = false;
     replace(r, number[p], through[p], seen[p]);
     fold(r)
  :: else ->
     if
#ifdef SNAPSHOT_GOES_BACK
     :: !waits[r] && !waits[p] ->
        next[r] = through[p];
#else
     :: !waits[r] && through[p] > through[r] ->
#endif
        replace(r, number[p], through[p], seen[p])
     :: else -> skip
     fi;
     putInForce(r, number[p])
  fi
}

/* A peer passes on a ticket that it knows as accepted. */
#ifdef PASSED_WITHOUT_BASE_CHECK
#define FITS(r, w) (NUMBER(w) > shown[r])
#else
#define FITS(r, w) (base[w] == shown[r])
#endif
#ifdef PASSED_BEFORE_READ
#define KNOWS(p, w) (submitted[w] && (p) == (w))
#else
#define KNOWS(p, w) (outcome[w] == ACCEPTED && (seen[p] & BIT(w)))
#endif
#ifdef NO_PEER_STATE
#define PASSES(r, p, w) false
#else
#define PASSES(r, p, w) \
  (CONNECTED(r) && CONNECTED(p) && KNOWS(p, w) && FITS(r, w) && \
   shown[r] < NUMBER(w))
#endif

inline takePassed(r, w) {
  /* The state is the one that the ticket was written against. */
  assert(base[w] == shown[r]);
  putInForce(r, NUMBER(w));
  /* What is in force has been accepted. */
  assert(outcome[w] == ACCEPTED);
  assert(base[w] == 0 || outcome[1 - w] == ACCEPTED)
}

proctype Reader(byte r) {
  byte a = (r + 1) % READERS;
  byte b = (r + 2) % READERS;
  byte got;
end:
  do
  :: d_step { CONNECTED(r) && next[r] < tail && first < tail -> readNext(r) }
  :: d_step { HELPS(r, a) -> takeSnapshot(r, a) }
  :: d_step { HELPS(r, b) -> takeSnapshot(r, b) }
  :: d_step { PASSES(r, a, 0) -> takePassed(r, 0) }
  :: d_step { PASSES(r, a, 1) -> takePassed(r, 1) }
  :: d_step { PASSES(r, b, 0) -> takePassed(r, 0) }
  :: d_step { PASSES(r, b, 1) -> takePassed(r, 1) }
  od
}

#define MAY_REPEAT(w) \
  (next[w] == tail && !waits[w] && !(seen[w] & BIT(w)))

proctype Operator(byte w) {
end:
  do
  :: d_step { !submitted[w] && CONNECTED(w) ->
       submitted[w] = true; base[w] = shown[w]; appends[w] = 1; inFlight[w] = 1 }
  /* The answer was lost and the record is not there at the end of the stream:
     the same sequence again. The first append may still take effect. */
  :: d_step { w == 0 && submitted[w] && CONNECTED(w) && appends[w] < 2 &&
       MAY_REPEAT(w) -> appends[w]++; inFlight[w]++ }
#ifdef ANSWER_BEFORE_READ
  :: d_step { submitted[w] && answer[w] == 0 -> answer[w] = ACCEPTED }
#endif
  od
}

inline land(record) {
  kind[tail] = record; tail++
}

#ifndef LIVENESS
/* Nothing is left to do: every reader has the newest state. Every step of the
   model makes progress, so each run ends in such a state. */
active proctype Settled() {
end:
  atomic {
    timeout -> assert(shown[0] == newest && shown[1] == newest &&
      shown[2] == newest)
  }
}
#endif

proctype Log() {
end:
  do
  :: d_step { inFlight[0] > 0 && tail < LENGTH -> inFlight[0]--; land(0) }
  :: d_step { inFlight[1] > 0 && tail < LENGTH -> inFlight[1]--; land(1) }
  :: d_step { checkpoint == 1 && tail < LENGTH -> checkpoint = 2; land(CHECKPOINT) }
  od
}

/* Steps that may happen or not: no fairness is asked of them, because each of
   them can also be skipped for good. */
proctype Faults() {
end:
  do
#ifdef LIVENESS
  /* Runs do not end, so that the claim is checked on each of them. */
  :: d_step { true -> skip }
  :: d_step { inFlight[0] == 1 && appends[0] == 1 -> inFlight[0] = 0 }
  :: d_step { !cut && cuts < 1 -> cut = true; cuts++ }
#endif
  /* Retention. */
  :: d_step { first < tail && first < 2 -> first++ }
  /* A reader writes a checkpoint of the state that it has folded. */
  :: d_step { checkpoint == 0 && CONNECTED(0) && !waits[0] && through[0] > 0 ->
       checkpoint = 1; checkNumber = number[0]; checkThrough = through[0];
       checkSeen = seen[0] }
  od
}

#ifdef LIVENESS
proctype Platform() {
end:
  do
  :: d_step { cut -> cut = false }
  :: d_step { !live[2] -> live[2] = true }
  od
}

/* An accepted ticket comes into force at every reader that is connected again. */
ltl in_force {
  <>[] (shown[0] == newest && shown[1] == newest && shown[2] == newest)
}
#endif

init {
  atomic {
    live[0] = true; live[1] = true;
    run Reader(0); run Reader(1); run Reader(2);
    run Operator(0);
#ifndef LIVENESS
    run Operator(1);
#endif
    run Log(); run Faults();
#ifdef LIVENESS
    run Platform()
#else
    live[2] = true
#endif
  }
}
