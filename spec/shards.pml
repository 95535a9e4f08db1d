/*
 * Shards: two schedulers, each with a worker of its own, and one job that is
 * handed over between them (src/common/batch, src/node/batch).
 *
 * The scheduler of a shard is a sequence of terms. Term t of a shard has epoch t
 * and runs in instance t % 2, which ends its former term before it claims again.
 * An older term may be paused at any point and go on later with what it knew. A
 * claim is one step, because the store accepts an epoch of a producer once.
 *
 * An append is sent, and stored or refused at any later time, also after its
 * term has ended. The writer of a placement or a state learns the outcome when
 * the record is stored: a lost answer only delays what the term does next, as a
 * pause does. The answer to a hand-over is a step of its own, because other
 * schedulers act on the record before it. A repeated append has the same
 * sequence number, so the store keeps one copy of it.
 *
 * The job has two steps, which run one after the other. A run may fail, and its
 * step is then placed again.
 *
 * Leases, lost workers, cancellations and several jobs are left out; jobs.pml
 * has the first three.
 *
 * Mutations are selected by -D flags. Each breaks one rule of the protocol and
 * must be rejected; docs/MODEL.md lists them.
 */

#define SHARDS 2
#define TERMS 3
#define HOLDERS 6
#define STEPS 2
#define MAX_GENERATIONS 3

/* Bounds of a run: terms of each shard, runs that may fail and hand-overs. All
   at their highest together take too long, so a search has one set of bounds or
   chooses from several (`init`). */
byte terms[SHARDS];
byte failuresLeft;
byte generations;
#ifndef TERMS_A
#define TERMS_A 2
#endif
#ifndef TERMS_B
#define TERMS_B 1
#endif
#ifndef FAILURES
#define FAILURES 0
#endif
#ifndef GENERATIONS
#define GENERATIONS 2
#endif
#define HOLDER(s, t) ((s) * TERMS + (t))

/* Topics. For each shard: the newest term that has claimed it, and the lowest
   term whose appends the store accepts. */
byte newestTerm[SHARDS];
byte statesFence[SHARDS];
byte progressFence[SHARDS];
byte intakeFence[SHARDS];

/* Newest record of the job in `states`, and whether the end of that topic has
   an odd offset; schedulers append heartbeats to it all the time. */
#define QUEUED_STATE 0
#define STARTED_STATE 1
#define ENDED_STATE 2
byte stateRecord = QUEUED_STATE;
bit statesEnd;

/* Hand-over records of the job in `intake`, by generation. Generation 0 stands
   for the submission, which assigns the job to shard 0; each hand-over is to
   the other shard. */
byte newestGeneration = 0;
#define OWNER(generation) ((generation) % SHARDS)
byte recordedSteps[MAX_GENERATIONS + 1];
byte recordedAttempt[MAX_GENERATIONS + 1];

/* Progress record of the job in the topic of each shard: its generation, the
   number of steps that have ended, the last attempt, and whether that attempt
   is a run. */
bool hasProgress[SHARDS];
byte progressGeneration[SHARDS];
byte progressSteps[SHARDS];
byte progressAttempt[SHARDS];
bool progressRun[SHARDS];

/* What a term does, and what it knows of the job. CLAIMED to LOADING are the
   steps of a takeover. */
#define NOT_BEGUN 0
#define CLAIMED 1
#define PROGRESS_FENCED 2
#define LOADING 3
#define ACTIVE 4
#define OVER 5
byte stage[HOLDERS];

/* UNVERIFIED is a run that an earlier term has recorded, of which the worker
   has not reported yet. COMPLETE becomes DONE when the end is sent to
   `states`. */
#define NOT_OWNED 0
#define HANDING_OVER 1
#define WAITING 2
#define PLACING 3
#define PLACED 4
#define STARTING 5
#define UNVERIFIED 6
#define COMPLETE 7
#define DONE 8
byte job[HOLDERS];
byte generation[HOLDERS];
byte steps[HOLDERS];
byte attempt[HOLDERS];
bool mustRemove[HOLDERS];

/* Appends of a term: at most one to each topic, as in `FencedWriter`. */
#define NO_APPEND 0
#define PLACEMENT 1
#define IDLE 2
#define REMOVAL 3
byte progressAppend[HOLDERS];
byte appendGeneration[HOLDERS];
byte appendSteps[HOLDERS];
byte appendAttempt[HOLDERS];

#define SENT 1
#define STORED 2
byte handOver[HOLDERS];
byte handOverGeneration[HOLDERS];
byte handOverSteps[HOLDERS];
byte handOverAttempt[HOLDERS];

byte stateAppend[HOLDERS];

/* A start in transit: its attempt, 0 for none, and its step. */
byte startAttempt[HOLDERS];
byte startStep[HOLDERS];

/* Workers: the highest fencing token seen, which is the term, and the last run.
   A worker keeps the end of a run until the record of it is stored. */
#define NO_RUN 0
#define RUNNING 1
#define FINISHED 2
#define FAILED 3
byte token[SHARDS];
byte runState[SHARDS];
byte runAttempt[SHARDS];

/* Steps that were executed to their end, for the properties. */
byte finishedSteps = 0;

/* Whether a term may place the job: it holds the job, and the store would
   accept its placement. */
#define MAY_PLACE(s, t) \
  (stage[HOLDER(s, t)] == ACTIVE && job[HOLDER(s, t)] >= WAITING && \
   job[HOLDER(s, t)] < COMPLETE && (t) >= progressFence[s])
#define OWNERS \
  (MAY_PLACE(0, 0) + MAY_PLACE(0, 1) + MAY_PLACE(0, 2) + \
   MAY_PLACE(1, 0) + MAY_PLACE(1, 1) + MAY_PLACE(1, 2))

inline clearHandOver(h) {
  handOver[h] = NO_APPEND; handOverGeneration[h] = 0; handOverSteps[h] = 0;
  handOverAttempt[h] = 0
}

inline clearProgressAppend(h) {
  progressAppend[h] = NO_APPEND; appendGeneration[h] = 0; appendSteps[h] = 0;
  appendAttempt[h] = 0
}

inline clearStart(h) {
  startAttempt[h] = 0; startStep[h] = 0
}

/* The term ends. Its appends and starts in transit may still arrive. */
inline endTerm(h) {
  stage[h] = OVER; job[h] = NOT_OWNED; generation[h] = 0; steps[h] = 0;
  attempt[h] = 0; mustRemove[h] = false;
  if
  :: handOver[h] == STORED -> clearHandOver(h)
  :: else -> skip
  fi
}

/* Claims the role of the shard, which fences its producer in `states`. Here and
   below, appends and starts of earlier terms that would be refused later are
   dropped at once, which saves states. */
inline claim(s, t, h) {
  stage[h] = CLAIMED; newestTerm[s] = t; statesFence[s] = t;
  stateAppend[h - 1] = NO_APPEND;
  if
  :: t == 2 -> endTerm(h - 2)
  :: else -> skip
  fi;
#ifdef SHARED_PRODUCER
  statesFence[1 - s] = newestTerm[1 - s] + 1
#endif
}

/* Whether the store accepts a claim. A claim needs an epoch that no term of the
   shard has, but not that the end of `states` is where the instance has read
   it, because the schedulers of other shards move it all the time. */
#ifdef CLAIM_AT_END_OF_STATES
#define CLAIM_IS_STORED (endRead == statesEnd)
#else
#define CLAIM_IS_STORED true
#endif

/* Whether term t may claim as the successor of t - 1. */
#define IS_NEXT(s, t) \
  ((t) > 0 && (t) < terms[s] && newestTerm[s] + 1 == (t))

/* Fences the producer of the shard in a topic, unless a later term has. */
inline fenceProgress(s, t, h) {
#ifdef NO_PROGRESS_FENCE
  stage[h] = PROGRESS_FENCED
#else
  if
  :: t >= progressFence[s] ->
     progressFence[s] = t; stage[h] = PROGRESS_FENCED;
     clearProgressAppend(h - 1);
     if
     :: t == 2 -> clearProgressAppend(h - 2)
     :: else -> skip
     fi
  :: else -> endTerm(h)
  fi
#endif
}

inline fenceIntake(s, t, h, next) {
#ifdef NO_INTAKE_FENCE
  stage[h] = next
#else
  if
  :: t >= intakeFence[s] ->
     intakeFence[s] = t; stage[h] = next;
     if
     :: handOver[h - 1] == SENT -> clearHandOver(h - 1)
     :: else -> skip
     fi;
     if
     :: t == 2 && handOver[h - 2] == SENT -> clearHandOver(h - 2)
     :: else -> skip
     fi
  :: else -> endTerm(h)
  fi;
#ifdef SHARED_PRODUCER
  intakeFence[1 - s] = newestTerm[1 - s] + 1
#endif
#endif
}

/* A progress record that is older than the newest hand-over is void. */
#ifdef OLD_PROGRESS_COUNTS
#define PROGRESS_IS_VALID(s) hasProgress[s]
#else
#define PROGRESS_IS_VALID(s) \
  (hasProgress[s] && progressGeneration[s] >= newestGeneration)
#endif

/* The owner as the records in `intake` show it. Generation 0 has the same owner
   whichever submission record of the job is read. */
#ifdef NEWEST_SUBMISSION_ASSIGNS
/* The job was submitted again through an instance that assigns it to shard 1. A
   term that was active before has read the first record, a later one loads the
   newest record of the key. */
#define LOADED_OWNER (newestGeneration == 0 -> 1 : OWNER(newestGeneration))
#else
#define LOADED_OWNER OWNER(newestGeneration)
#endif

/* Restores the job from `states`, `intake` and the progress topic. */
inline load(s, h) {
  generation[h] = newestGeneration;
  if
  :: stateRecord == ENDED_STATE -> skip
  :: stateRecord != ENDED_STATE && LOADED_OWNER != s -> skip
  :: stateRecord != ENDED_STATE && LOADED_OWNER == s && PROGRESS_IS_VALID(s) ->
     steps[h] = progressSteps[s]; attempt[h] = progressAttempt[s];
     job[h] = (progressRun[s] -> UNVERIFIED :
       (steps[h] == STEPS -> COMPLETE : WAITING))
  :: else ->
     steps[h] = recordedSteps[newestGeneration];
     attempt[h] = recordedAttempt[newestGeneration];
     job[h] = WAITING
  fi
}

/* The job is no longer this shard's, whose progress record is to be removed. */
inline forgetJob(s, h) {
  job[h] = NOT_OWNED; steps[h] = 0; attempt[h] = 0;
  mustRemove[h] = hasProgress[s] || progressAppend[h] != NO_APPEND
}

/* Reads the next hand-over record. A removal that was not sent must not follow
   the next placement. */
inline readHandOver(s, h) {
  generation[h]++;
  if
  :: OWNER(generation[h]) == s ->
     job[h] = WAITING;
     steps[h] = recordedSteps[generation[h]];
     attempt[h] = recordedAttempt[generation[h]];
#ifndef REMOVAL_AFTER_RETURN
     mustRemove[h] = false;
#endif
     assert(OWNERS <= 1)
  :: OWNER(generation[h]) != s && job[h] != NOT_OWNED -> forgetJob(s, h)
  :: else -> skip
  fi
}

/* The answer to a hand-over. It may arrive after the record was read, and even
   after the job has come back. */
#ifdef LATE_ANSWER_FORGETS
#define ANSWER_COUNTS(h) true
#else
#define ANSWER_COUNTS(h) (generation[h] < handOverGeneration[h])
#endif
inline handOverAnswered(s, h) {
  if
  :: ANSWER_COUNTS(h) ->
     forgetJob(s, h);
     generation[h] = (generation[h] < handOverGeneration[h] ->
       handOverGeneration[h] : generation[h])
  :: else -> skip
  fi;
  clearHandOver(h)
}

/* A job is handed over only without a run and without a state in flight, which
   could follow the states that the next owner stores. */
#ifdef HAND_OVER_WITH_RUN
#define HAS_NO_RUN(h) (job[h] == WAITING || job[h] == STARTING)
#else
#define HAS_NO_RUN(h) (job[h] == WAITING)
#endif
#ifdef HAND_OVER_WITH_STATE_IN_FLIGHT
#define STATE_SETTLED(h) true
#else
#define STATE_SETTLED(h) (stateAppend[h] == NO_APPEND)
#endif

/* The attempt number goes with the job, so that an end which a worker still
   keeps is not taken for that of a later attempt. */
inline sendHandOver(h) {
  job[h] = HANDING_OVER;
  handOver[h] = SENT;
  handOverGeneration[h] = generation[h] + 1;
  handOverSteps[h] = steps[h];
#ifndef HAND_OVER_WITHOUT_ATTEMPT
  handOverAttempt[h] = attempt[h]
#endif
}

inline sendProgress(h, kind) {
  progressAppend[h] = kind; appendGeneration[h] = generation[h];
  appendSteps[h] = steps[h]; appendAttempt[h] = attempt[h]
}

/* A job whose hand-over is not answered may be another shard's. */
#ifdef PLACES_DURING_HAND_OVER
#define CAN_PLACE(h) \
  ((job[h] == WAITING || job[h] == HANDING_OVER) && \
   progressAppend[h] == NO_APPEND)
#else
#define CAN_PLACE(h) (job[h] == WAITING && progressAppend[h] == NO_APPEND)
#endif

/* A start is sent only after the placement is stored. */
#ifdef START_BEFORE_RECORD
#define CAN_START(h) (job[h] == PLACING || job[h] == PLACED)
#else
#define CAN_START(h) (job[h] == PLACED)
#endif

inline sendStart(h) {
  job[h] = STARTING; startAttempt[h] = attempt[h]; startStep[h] = steps[h];
  if
  :: stateRecord == QUEUED_STATE && stateAppend[h] == NO_APPEND ->
     stateAppend[h] = STARTED_STATE
  :: else -> skip
  fi
}

/* The worker sees the token of a term. */
inline raiseToken(s, t, h) {
#ifndef NO_TOKEN_CHECK
  if
  :: t > token[s] ->
     clearStart(h - 1);
     if
     :: t == 2 -> clearStart(h - 2)
     :: else -> skip
     fi
  :: else -> skip
  fi;
#endif
  token[s] = (token[s] < t -> t : token[s])
}

/* A report of the worker that changes what the term knows. The worker answers
   only terms that are not older than its token. */
#define REPORTS_RUN(s, h) (runState[s] != NO_RUN && runAttempt[s] == attempt[h])
#define REPORT_CHANGES_JOB(s, t, h) \
  (token[s] <= (t) && progressAppend[h] == NO_APPEND && \
   ((job[h] == UNVERIFIED) || \
    (job[h] == STARTING && REPORTS_RUN(s, h) && runState[s] != RUNNING)))

inline applyReport(s, t, h) {
  raiseToken(s, t, h);
  if
  :: REPORTS_RUN(s, h) && runState[s] == RUNNING -> job[h] = STARTING
  :: REPORTS_RUN(s, h) && runState[s] == FINISHED ->
     steps[h]++;
     job[h] = (steps[h] == STEPS -> COMPLETE : WAITING);
     sendProgress(h, IDLE)
  :: REPORTS_RUN(s, h) && runState[s] == FAILED ->
     job[h] = WAITING; sendProgress(h, IDLE)
  :: else -> job[h] = WAITING
  fi
}

proctype Term(byte s; byte t; byte h) {
#ifdef CLAIM_AT_END_OF_STATES
  bit endRead = 0;
#endif
end:
  do
  /* The predecessor has ended. */
  :: d_step { IS_NEXT(s, t) && stage[h - 1] == OVER && CLAIM_IS_STORED ->
       claim(s, t, h) }
#ifdef CLAIM_AT_END_OF_STATES
  :: d_step { IS_NEXT(s, t) && endRead != statesEnd ->
       endRead = statesEnd }
#endif

  /* Takeover (`Takeover.load`). */
  :: d_step { stage[h] == CLAIMED -> fenceProgress(s, t, h) }
#ifdef INTAKE_READ_BEFORE_FENCE
  :: d_step { stage[h] == PROGRESS_FENCED -> load(s, h); stage[h] = LOADING }
  :: d_step { stage[h] == LOADING -> fenceIntake(s, t, h, ACTIVE);
       assert(OWNERS <= 1) }
#else
  :: d_step { stage[h] == PROGRESS_FENCED -> fenceIntake(s, t, h, LOADING) }
  :: d_step { stage[h] == LOADING -> load(s, h); stage[h] = ACTIVE;
       assert(OWNERS <= 1) }
#endif

  :: d_step { stage[h] == ACTIVE && generation[h] < newestGeneration ->
       readHandOver(s, h) }
  :: d_step { stage[h] == ACTIVE && handOver[h] == STORED ->
       handOverAnswered(s, h) }
  :: d_step { stage[h] == ACTIVE && HAS_NO_RUN(h) && STATE_SETTLED(h) &&
       handOver[h] == NO_APPEND && generation[h] < generations ->
       sendHandOver(h) }
  :: d_step { stage[h] == ACTIVE && mustRemove[h] &&
       progressAppend[h] == NO_APPEND ->
       mustRemove[h] = false; sendProgress(h, REMOVAL) }

  :: d_step { stage[h] == ACTIVE && CAN_PLACE(h) ->
       attempt[h]++; job[h] = PLACING; sendProgress(h, PLACEMENT) }
  :: d_step { stage[h] == ACTIVE && CAN_START(h) -> sendStart(h) }
  :: d_step { stage[h] == ACTIVE && REPORT_CHANGES_JOB(s, t, h) ->
       applyReport(s, t, h) }
  :: d_step { stage[h] == ACTIVE && job[h] == COMPLETE &&
       progressAppend[h] == NO_APPEND && stateAppend[h] == NO_APPEND ->
       job[h] = DONE; stateAppend[h] = ENDED_STATE }

  /* The store refuses the newest term. */
  :: d_step { stage[h] != OVER && t == newestTerm[s] &&
       t < statesFence[s] -> endTerm(h) }
  od
}

/* The store executes an append to a progress topic. */
inline storeProgress(s, t, h) {
  if
  :: t >= progressFence[s] ->
     if
     :: progressAppend[h] == REMOVAL ->
        hasProgress[s] = false; progressGeneration[s] = 0;
        progressSteps[s] = 0; progressAttempt[s] = 0; progressRun[s] = false
     :: else ->
        /* A step is recorded as ended only after it has ended. */
        assert(appendSteps[h] <= finishedSteps);
        hasProgress[s] = true; progressGeneration[s] = appendGeneration[h];
        progressSteps[s] = appendSteps[h];
        progressAttempt[s] = appendAttempt[h];
        progressRun[s] = (progressAppend[h] == PLACEMENT)
     fi;
     if
     :: progressAppend[h] == PLACEMENT && job[h] == PLACING -> job[h] = PLACED
     /* The worker may forget the end of the run. */
     :: progressAppend[h] == IDLE && stage[h] == ACTIVE && token[s] <= t &&
        runAttempt[s] == appendAttempt[h] && runState[s] != RUNNING ->
        runState[s] = NO_RUN; runAttempt[s] = 0
     :: else -> skip
     fi
  :: else -> skip
  fi;
  clearProgressAppend(h)
}

/* The store executes the append of a hand-over. */
inline storeHandOver(s, t, h) {
  if
  :: t >= intakeFence[s] ->
     /* Each hand-over follows the one before it. */
     assert(handOverGeneration[h] == newestGeneration + 1);
     newestGeneration++;
     recordedSteps[newestGeneration] = handOverSteps[h];
     recordedAttempt[newestGeneration] = handOverAttempt[h];
     handOver[h] = STORED
  :: else -> clearHandOver(h)
  fi;
  if
  :: stage[h] == OVER -> clearHandOver(h)
  :: else -> skip
  fi
}

inline storeState(s, t, h) {
  if
  :: t >= statesFence[s] ->
     /* Nothing follows the end of the job. */
     assert(stateRecord != ENDED_STATE);
     assert(stateAppend[h] != ENDED_STATE || finishedSteps == STEPS);
     stateRecord = stateAppend[h]
  :: else -> skip
  fi;
  stateAppend[h] = NO_APPEND
}

#define STORES(s, t) \
  :: d_step { progressAppend[HOLDER(s, t)] != NO_APPEND -> \
       storeProgress(s, t, HOLDER(s, t)) } \
  :: d_step { handOver[HOLDER(s, t)] == SENT -> \
       storeHandOver(s, t, HOLDER(s, t)) } \
  :: d_step { stateAppend[HOLDER(s, t)] != NO_APPEND -> \
       storeState(s, t, HOLDER(s, t)) }

proctype Store() {
end:
  do
  STORES(0, 0) STORES(0, 1) STORES(0, 2)
  STORES(1, 0) STORES(1, 1) STORES(1, 2)
  od
}

/* A start arrives. Those of earlier terms are refused. */
#ifdef NO_TOKEN_CHECK
#define TOKEN_IS_ACCEPTED(s, t) true
#else
#define TOKEN_IS_ACCEPTED(s, t) (token[s] <= (t))
#endif
inline receiveStart(s, t, h) {
  if
  :: TOKEN_IS_ACCEPTED(s, t) ->
     /* The job runs nowhere. */
     assert(runState[0] != RUNNING && runState[1] != RUNNING);
     /* The step has not been executed to its end before. */
     assert(startStep[h] == finishedSteps);
     raiseToken(s, t, h);
     runState[s] = RUNNING; runAttempt[s] = startAttempt[h]
  :: else -> skip
  fi;
  clearStart(h)
}

#define ARRIVES(t) \
  :: d_step { startAttempt[HOLDER(s, t)] != 0 -> \
       receiveStart(s, t, HOLDER(s, t)) }

proctype Worker(byte s) {
end:
  do
  ARRIVES(0) ARRIVES(1) ARRIVES(2)
  :: d_step { runState[s] == RUNNING ->
       runState[s] = FINISHED; finishedSteps++ }
  :: d_step { runState[s] == RUNNING && failuresLeft > 0 ->
       failuresLeft--; runState[s] = FAILED }
  od
}

/* Takes over from a term that is paused or cut off. */
#define SUSPECTS(s, t) \
  :: d_step { IS_NEXT(s, t) && \
       stage[HOLDER(s, t) - 1] != OVER -> claim(s, t, HOLDER(s, t)) }
/* For safety a crash is the same as a pause that does not end. */
#define CRASHES(s, t) \
  :: d_step { stage[HOLDER(s, t)] != OVER && t == newestTerm[s] && \
       t + 1 < terms[s] -> endTerm(HOLDER(s, t)) }

/* Steps that may happen or not. */
proctype Faults() {
end:
  do
  SUSPECTS(0, 1) SUSPECTS(0, 2) SUSPECTS(1, 1) SUSPECTS(1, 2)
#ifdef LIVENESS
  CRASHES(0, 0) CRASHES(0, 1) CRASHES(1, 0) CRASHES(1, 1)
  /* Schedulers of other shards append heartbeats all the time. */
  :: d_step { true -> statesEnd = 1 - statesEnd }
#endif
  od
}

#ifdef LIVENESS
/* The job ends, whatever the faults were. */
ltl ends { <> (stateRecord == ENDED_STATE) }
#else
/* At the end the job has ended. Every step makes progress, so each run ends
   with no step left. */
active proctype Settled() {
end:
  atomic { timeout -> assert(stateRecord == ENDED_STATE) }
}
#endif

inline setBounds(termsA, termsB, failures, handOvers) {
  terms[0] = termsA; terms[1] = termsB; failuresLeft = failures;
  generations = handOvers
}

init {
  atomic {
    if
#if defined(LIVENESS) && defined(EACH_FAULT)
    :: setBounds(1, 1, 1, 2)
    :: setBounds(2, 1, 0, 1)
    :: setBounds(1, 2, 0, 1)
#elif defined(EACH_TAKEOVER)
    :: setBounds(3, 1, 0, 2)
    :: setBounds(1, 3, 0, 2)
    :: setBounds(2, 2, 0, 1)
#elif defined(EACH_FAULT)
    :: setBounds(2, 1, 1, 2)
    :: setBounds(1, 2, 1, 2)
    :: setBounds(2, 1, 0, 3)
#else
    :: setBounds(TERMS_A, TERMS_B, FAILURES, GENERATIONS)
#endif
    fi;
    stage[HOLDER(0, 0)] = ACTIVE; stage[HOLDER(1, 0)] = ACTIVE;
    job[HOLDER(0, 0)] = WAITING;
    run Term(0, 0, HOLDER(0, 0)); run Term(0, 1, HOLDER(0, 1));
    run Term(0, 2, HOLDER(0, 2));
    run Term(1, 0, HOLDER(1, 0)); run Term(1, 1, HOLDER(1, 1));
    run Term(1, 2, HOLDER(1, 2));
    run Store(); run Worker(0); run Worker(1); run Faults()
  }
}
