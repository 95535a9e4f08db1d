/*
 * One job of a data centre (docs/design.md 3.3, 3.6): submission, starting
 * record, start, end, eviction, change of leader, log outage, worker loss.
 *
 * Ownership is checked in ownership.pml. Here leader k holds epoch k: a takeover
 * is one step, and what the old leader still sends afterwards is late: its
 * batches are void, and its starts arrive with a lease that has ended. A log
 * outage needs no transition of its own: an append may stay on its way.
 *
 * A task's lease may end at any time, because renewals may be lost. Ends of
 * leases, evictions, restarts and losses of workers and takeovers are limited
 * to FAULTS in all, so that TASKS tasks are enough for the job to finish.
 *
 * -DIDEMPOTENT selects an idempotent job. Mutations are selected by -D flags;
 * docs/MODEL.md lists them.
 */

#ifdef IDEMPOTENT
#define IS_IDEMPOTENT true
#else
#define IS_IDEMPOTENT false
#endif

#define TASKS 4
#ifndef FAULTS
#define FAULTS 3
#endif
#define WORKERS 2
#define NONE 7
#define BIT(w) (1 << (w))

/* States of the job: as folded from the stream, and as a leader knows it. */
#define ABSENT 0
#define QUEUED 1
#define STARTING 2
#define ENDED 3
#define INTERRUPTED 4

/* The stream, folded; every reader has the same state at the same offset. */
byte epoch = 0;
byte table = ABSENT;
byte tableTask = NONE;
bool tableSaved;

/* Records. Each leader has one append on its way, until it is read back. */
#define SUBMITTED 1
#define START 2
#define NOT_STARTED 3
#define REQUEUED 4
#define END 5
#define INTERRUPT 6
byte record[2];
byte recordTask[2];
bool recordSaved[2];

/* What each leader knows: the job, its task, whether it has a checkpoint to
   start from, and the workers that the survey still has to settle. */
#define IDLE 0
#define RECORDING 1
#define RECORDED 2
#define SENT 3
#define RUNNING 4
#define EVICTING 5
byte leader = 0;
bool failed = false;
byte job[2];
byte task[2];
byte phase[2];
bool saved[2];
byte unsurveyed[2];
byte nextTask = 0;

/* A start on its way; its lease on the worker's clock goes on or has ended. */
#define NO_START 0
#define IN_LEASE 1
#define LAPSED 2
byte start[TASKS];
bool fromCheckpoint[TASKS];
byte place[TASKS];

/* Tasks as the workers have them. An outcome is kept until it is forgotten. */
#define NOT_HERE 0
#define RUNS 1
#define FINISHED 2
#define STOPPED 3
#define EXPIRED 4
byte state[TASKS];
bool kept[TASKS];
bool stopSent[TASKS];

/* The task was placed before its worker restarted. */
bool forgotten[TASKS];

/* Workers: one that is lost answers nothing; one that restarted has forgotten
   its tasks, and the list shows its new start number before it answers. */
byte lost = NONE;
byte restarted = NONE;
bool listLags = false;

byte faults = 0;

/* Ledger of executions. */
byte scratch = 0;
byte resumptions = 0;
byte evictions = 0;

/* The answer to the submission. */
#define OPEN 0
#define ACCEPTED 1
#define NOT_RUN 2
byte answer = OPEN;

#define LEADS(k) (leader == (k) && !((k) == 0 && failed))
#define FREE(k) (record[k] == 0)
#define CAN_FAIL (faults < FAULTS)
#define ANSWERS(t) (lost != place[t])

inline append(k, kindOfRecord, t, checkpoint) {
  record[k] = kindOfRecord; recordTask[k] = t; recordSaved[k] = checkpoint
}

/* The job goes back to the queue; `next` may start before the record is read
   back, because the records keep their order. */
inline requeue(k, checkpoint) {
  saved[k] = saved[k] || checkpoint;
  append(k, REQUEUED, task[k], saved[k]);
  job[k] = QUEUED; phase[k] = IDLE; task[k] = NONE
}

inline finish(k) {
  append(k, END, task[k], false);
  job[k] = ENDED; phase[k] = IDLE; task[k] = NONE
}

/* The lease ended before the task did. */
inline lapse(k, checkpoint) {
  if
#ifndef EXPIRED_IS_REQUEUED
  :: !IS_IDEMPOTENT ->
     append(k, INTERRUPT, task[k], false);
     job[k] = INTERRUPTED; phase[k] = IDLE; task[k] = NONE
#endif
  :: else -> requeue(k, checkpoint)
  fi
}

/* The start did not run. */
inline neverRan(k) {
  if
  :: !IS_IDEMPOTENT -> append(k, NOT_STARTED, task[k], false)
  :: else -> skip
  fi;
  job[k] = QUEUED; phase[k] = IDLE; task[k] = NONE
}

/* A status of the worker that has the leader's task t. */
#ifdef NEVER_RAN_BEFORE_LEASE_END
#define START_SETTLED(t) true
#else
#define START_SETTLED(t) (start[t] != IN_LEASE)
#endif
#define HAS_NEWS(k, t) \
  ((state[t] == RUNS && phase[k] == SENT) || state[t] > RUNS || \
   (state[t] == NOT_HERE && START_SETTLED(t)))

inline takeStatus(k, t) {
  if
  :: state[t] == RUNS -> phase[k] = RUNNING
  :: state[t] == FINISHED -> finish(k)
  :: state[t] == STOPPED ->
     if
#ifndef NO_CHECKPOINT_BEFORE_STOP
     :: !IS_IDEMPOTENT && !kept[t] -> lapse(k, false)
#endif
     :: else -> requeue(k, kept[t])
     fi
  :: state[t] == EXPIRED -> lapse(k, kept[t])
  :: else ->
     if
     :: phase[k] != SENT || (forgotten[t] && !listLags) -> lapse(k, false)
     :: else -> neverRan(k)
     fi
  fi;
#ifdef FORGET_BEFORE_RECORD
  if
  :: state[t] > RUNS -> state[t] = NOT_HERE
  :: else -> skip
  fi
#endif
}

inline sendStart(k, t) {
  phase[k] = SENT;
  start[t] = (LEADS(k) -> IN_LEASE : LAPSED);
  fromCheckpoint[t] = saved[k]
}

/* Survey of worker w for tasks of an idempotent job without a record. */
inline survey(k, w) {
  unsurveyed[k] = unsurveyed[k] & ~BIT(w);
  t = 0;
  do
  :: t < nextTask ->
     if
     :: place[t] == w && state[t] == RUNS && job[k] == QUEUED &&
        task[k] == NONE ->
        task[k] = t; phase[k] = RUNNING; job[k] = STARTING
     :: place[t] == w && state[t] == FINISHED && job[k] == QUEUED &&
        task[k] == NONE ->
        task[k] = t; finish(k)
     :: else -> skip
     fi;
     t++
  :: else -> break
  od;
  t = 0
}

#define NO_TASK_RUNS_ON(w) \
  (!(state[3] == RUNS && place[3] == (w)) && \
   !(state[0] == RUNS && place[0] == (w)) && \
   !(state[1] == RUNS && place[1] == (w)) && \
   !(state[2] == RUNS && place[2] == (w)))

#ifdef NO_SURVEY
#define SURVEY_DONE(k) true
#else
#define SURVEY_DONE(k) (unsurveyed[k] == 0)
#endif

#ifdef START_BEFORE_RECORD
#define MAY_SEND(k) (phase[k] == RECORDING || phase[k] == RECORDED)
#else
#define MAY_SEND(k) (phase[k] == RECORDED)
#endif

proctype Leader(byte k) {
  byte t;
end:
  do
  /* Submission; the same key again asks for the outcome. */
  :: d_step { LEADS(k) && answer == OPEN && table == ABSENT && FREE(k) &&
       job[k] == ABSENT -> append(k, SUBMITTED, NONE, false); job[k] = QUEUED }
  :: d_step { LEADS(k) && answer == OPEN && table != ABSENT ->
       answer = ACCEPTED }
  /* The log is not available: the submission is refused. */
#ifdef REFUSED_AFTER_APPEND
  :: d_step { LEADS(k) && answer == OPEN && table == ABSENT ->
#else
  :: d_step { LEADS(k) && answer == OPEN && table == ABSENT && record[0] == 0 &&
       record[1] == 0 ->
#endif
       answer = NOT_RUN }

  /* Placement on a worker that answers; a non-idempotent job needs a record. */
  :: d_step { LEADS(k) && job[k] == QUEUED && table != ABSENT &&
       phase[k] == IDLE && SURVEY_DONE(k) && nextTask < TASKS &&
       (IS_IDEMPOTENT || FREE(k)) ->
       t = nextTask; nextTask++;
       place[t] = (lost == 0 -> 1 : (lost == 1 -> 0 : t % 2));
       task[k] = t; job[k] = STARTING;
       if
       :: IS_IDEMPOTENT -> sendStart(k, t)
       :: else -> phase[k] = RECORDING; append(k, START, t, false)
       fi;
       t = 0 }
  /* The start; a leader that was replaced may still send it. */
  :: d_step { MAY_SEND(k) -> sendStart(k, task[k]) }

  /* Status of the task's worker. */
  :: d_step { LEADS(k) && phase[k] >= SENT && FREE(k) && ANSWERS(task[k]) &&
       HAS_NEWS(k, task[k]) -> t = task[k]; takeStatus(k, t); t = 0 }
  /* A silent worker: its leases have ended. */
#ifndef NO_SILENCE_LIMIT
  :: d_step { LEADS(k) && phase[k] >= SENT && FREE(k) &&
       lost == place[task[k]] && state[task[k]] != RUNS &&
       start[task[k]] != IN_LEASE ->
       lapse(k, false) }
#endif

  /* Survey: an answer, or the end of all leases. */
  :: d_step { LEADS(k) && (unsurveyed[k] & 1) && FREE(k) && lost != 0 ->
       survey(k, 0) }
  :: d_step { LEADS(k) && (unsurveyed[k] & 2) && FREE(k) && lost != 1 ->
       survey(k, 1) }
#ifndef NO_SURVEY_LIMIT
  :: d_step { LEADS(k) && lost != NONE && (unsurveyed[k] & BIT(lost)) &&
       NO_TASK_RUNS_ON(lost) -> unsurveyed[k] = unsurveyed[k] & ~BIT(lost) }
#endif

  /* Eviction: checkpoint, then stop. */
  :: d_step { LEADS(k) && phase[k] == RUNNING && CAN_FAIL &&
       state[task[k]] == RUNS && ANSWERS(task[k]) ->
       faults++; evictions++; phase[k] = EVICTING;
#ifdef NO_CHECKPOINT_BEFORE_STOP
       stopSent[task[k]] = true }
#else
       kept[task[k]] = true; stopSent[task[k]] = true }
#endif
#ifdef REQUEUE_BEFORE_STOP
  :: d_step { LEADS(k) && phase[k] == EVICTING && FREE(k) -> requeue(k, true) }
#endif
  od
}

/* The log puts an append at an offset; a batch of an epoch that is not in force
   is void. The leader reads its record back in the same step. */
#ifdef LATE_BATCH_NOT_VOID
#define IN_FORCE(k) true
#else
#define IN_FORCE(k) (epoch == (k))
#endif

inline forget(t) {
  if
  :: t != NONE && state[t] > RUNS -> state[t] = NOT_HERE
  :: else -> skip
  fi
}

inline land(k) {
  if
  :: IN_FORCE(k) ->
     if
     :: record[k] == SUBMITTED && table == ABSENT -> table = QUEUED
     :: record[k] == START && table < ENDED ->
        table = STARTING; tableTask = recordTask[k]
     :: record[k] == NOT_STARTED && table < ENDED && tableTask == recordTask[k] ->
        table = QUEUED; tableTask = NONE
     :: record[k] == REQUEUED && table < ENDED ->
        table = QUEUED; tableTask = NONE; tableSaved = recordSaved[k]
     :: record[k] == END && table < ENDED -> table = ENDED
     :: record[k] == INTERRUPT && table < ENDED -> table = INTERRUPTED
     :: else -> skip
     fi;
     if
     :: LEADS(k) && record[k] == START && phase[k] == RECORDING ->
        phase[k] = RECORDED
     :: LEADS(k) && record[k] > START -> forget(recordTask[k])
     :: else -> skip
     fi
  :: else -> skip
  fi;
  record[k] = 0; recordTask[k] = 0; recordSaved[k] = false
}

proctype Log() {
end:
  do
  :: d_step { record[0] != 0 -> land(0) }
  :: d_step { record[1] != 0 -> land(1) }
  od
}

/* Leader 1 takes over; the lease of leader 0 has ended, and with it the leases
   of the starts that it has sent. */
inline lapseStart(t) {
#ifndef STARTS_SURVIVE_TAKEOVER
  if
  :: start[t] == IN_LEASE -> start[t] = LAPSED
  :: else -> skip
  fi
#else
  skip
#endif
}

inline takeOver() {
  leader = 1; epoch = 1;
  job[1] = (table == STARTING -> STARTING : table);
  saved[1] = tableSaved;
  lapseStart(0); lapseStart(1); lapseStart(2); lapseStart(3);
  if
  :: table == STARTING -> task[1] = tableTask; phase[1] = SENT
  :: else -> skip
  fi;
#ifdef INHERITED_START_REQUEUED
  if
  :: table == STARTING -> job[1] = QUEUED; task[1] = NONE; phase[1] = IDLE
  :: else -> skip
  fi;
#endif
  if
  :: IS_IDEMPOTENT -> unsurveyed[1] = 3
  :: else -> skip
  fi
}

proctype Successor() {
end:
  do
  :: d_step { leader == 0 && failed -> takeOver() }
  od
}

/* Workers. */
#ifdef NO_FENCE
#define RUNNABLE(t) (start[t] != NO_START)
#else
#define RUNNABLE(t) (start[t] == IN_LEASE)
#endif
#define RUNNING_TASKS \
  ((state[0] == RUNS) + (state[1] == RUNS) + (state[2] == RUNS) + \
   (state[3] == RUNS))

inline begin(t) {
  start[t] = NO_START;
  state[t] = RUNS;
  if
  :: fromCheckpoint[t] -> resumptions++
  :: else -> scratch++
  fi;
  /* Never two running tasks of a job. */
  assert(RUNNING_TASKS == 1);
  /* A refused submission never runs. */
  assert(answer != NOT_RUN);
  /* At most once from scratch, and one resumption for each eviction. */
  assert(IS_IDEMPOTENT || scratch <= 1);
  assert(IS_IDEMPOTENT || resumptions <= evictions)
}

proctype Tasks(byte t) {
end:
  do
  :: d_step { RUNNABLE(t) && lost != place[t] -> begin(t) }
  :: d_step { start[t] == LAPSED -> start[t] = NO_START }
  /* The lease of a start passes if its worker does not answer. */
  :: d_step { start[t] == IN_LEASE && lost == place[t] -> start[t] = LAPSED }
  :: d_step { state[t] == RUNS && stopSent[t] -> state[t] = STOPPED }
  :: d_step { state[t] == RUNS -> state[t] = FINISHED }
  od
}

/* Faults. None of them has to happen. */
inline vanish(t, w) {
  if
  :: t < nextTask && place[t] == w -> state[t] = NOT_HERE;
     forgotten[t] = true
  :: else -> skip
  fi
}

proctype Faults() {
  byte t;
end:
  do
#ifdef LIVENESS
  /* Runs do not end, so that the claim is checked on each of them. */
  :: d_step { true -> skip }
#endif
  :: d_step { CAN_FAIL && leader == 0 && !failed -> faults++; failed = true }
  /* A takeover from a leader that is paused or cut off. */
  :: d_step { CAN_FAIL && leader == 0 && !failed -> faults++; takeOver() }
  /* A start is delayed until its lease has ended. */
  :: d_step { CAN_FAIL && (start[0] == IN_LEASE || start[1] == IN_LEASE ||
       start[2] == IN_LEASE || start[3] == IN_LEASE) ->
       faults++; lapseStart(0); lapseStart(1); lapseStart(2);
       lapseStart(3) }
  /* Renewals are lost. */
  :: d_step { CAN_FAIL && RUNNING_TASKS > 0 -> faults++;
       t = (state[0] == RUNS -> 0 : (state[1] == RUNS -> 1 :
         (state[2] == RUNS -> 2 : 3)));
       state[t] = EXPIRED; t = 0 }
  /* A worker is lost for good, or restarts without its tasks. */
  :: d_step { CAN_FAIL && lost == NONE && restarted != 0 ->
       faults++; lost = 0; vanish(0, 0); vanish(1, 0); vanish(2, 0);
       vanish(3, 0) }
  :: d_step { CAN_FAIL && restarted == NONE && lost != 1 ->
       faults++; restarted = 1; vanish(0, 1); vanish(1, 1); vanish(2, 1);
       vanish(3, 1)
#ifdef LIST_SHOWS_RESTART_LATE
       ; listLags = true
#endif
     }
#ifdef LIST_SHOWS_RESTART_LATE
  :: d_step { listLags -> listLags = false }
#endif
  od
}

#ifdef LIVENESS
/* An accepted idempotent job finishes. */
ltl finishes { [] (answer == ACCEPTED -> <> (table == ENDED)) }
#else
/* Nothing is left to do: an accepted job has ended, or was interrupted when it
   is not idempotent. Every step makes progress, so each run ends so. */
active proctype Settled() {
end:
  atomic {
    timeout -> assert(answer != ACCEPTED || table == ENDED ||
      (!IS_IDEMPOTENT && table == INTERRUPTED))
  }
}
#endif

init {
  atomic {
    task[0] = NONE; task[1] = NONE;
    run Leader(0); run Leader(1); run Log(); run Successor();
    run Tasks(0); run Tasks(1); run Tasks(2); run Tasks(3);
    run Faults()
  }
}
