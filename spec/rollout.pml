/* A roll-out: one order, an owner that may be replaced, entry hosts that follow
   its directives and the agreed outcome.

   Shown: never both outcomes; nothing is sent to the candidate before the order
   is agreed; after "completed" is agreed, no host that hears the owner sends to
   the stable version; after "rolled back" no host that has heard it sends to
   the candidate; "completed" is agreed only if the candidate has answered.

   The agreed value is a register that is changed step by step (agreement.pml
   shows that). Time is left out but for one thing: a directive outlives the
   agreement on the end, and the news of it, at every host that can be reached;
   before that it may expire at any moment. The owner doesn't wait for a host
   that it can't hear.

   Broken variants: -DNO_CONFIRM completes without confirmations, -DTWO_ENDS
   lets each owner write its outcome without looking, -DNO_ORDER exposes before
   the order, -DKEEP_CONFIRMED counts a confirmation whose directive has
   expired, -DNO_FLIGHT confirms while requests still run at the old version,
   -DNO_EVIDENCE seals without an answer of the candidate. */

#define HOSTS 2

#ifdef NO_FLIGHT
#define IS_IDLE(h) true
#else
#define IS_IDLE(h) (stable_requests[h] == 0)
#endif

#ifdef NO_CONFIRM
#define IS_CONFIRMED true
#else
#define IS_CONFIRMED ((confirmed[0] || given_up[0]) && (confirmed[1] || given_up[1]))
#endif

/* One answer stands for as many as the owner needs. */
#ifdef NO_EVIDENCE
#define HAS_EVIDENCE(owner) true
#else
#define HAS_EVIDENCE(owner) (evidence[owner])
#endif
#define OWNERS 2

mtype = { unordered, running, completed, rolled_back };
mtype = { stable_only, both, candidate_only };

/* Agreed. */
mtype state = unordered;
byte owner = 0;
bool ended = false;

/* Each host's directive, what it has heard, and requests at the old version. */
mtype directive[HOSTS] = stable_only;
mtype heard[HOSTS] = unordered;
bool reachable[HOSTS] = true;
bool given_up[HOSTS] = false;
byte stable_requests[HOSTS] = 0;
/* Whether the candidate has answered a request of any host. */
bool answered = false;

/* Of each owner: it has heard of an answer of the candidate, it has decided to
   seal, and which hosts have confirmed. */
bool evidence[OWNERS] = false;
bool sealing[OWNERS] = false;
bool confirmed[HOSTS] = false;

inline end_rollout(me, outcome) {
  atomic {
    if
#ifndef TWO_ENDS
    :: state == running && owner == me ->
#else
    :: state != unordered ->
#endif
      assert(!ended || state == outcome);
      assert(outcome != completed || answered);
      state = outcome;
      ended = true
    :: else -> skip
    fi
  }
}

proctype Owner(byte me) {
  byte h;
  do
  :: atomic { state == unordered && me == 0 -> state = running }
#ifdef NO_ORDER
  :: atomic { state == unordered && me == 0 -> directive[0] = both }
#endif
  /* Takes over: the one before may not know it yet. */
  :: atomic {
      state == running && owner != me ->
      owner = me;
      sealing[me] = false;
      evidence[me] = false;
      h = 0;
      do
      :: h < HOSTS -> confirmed[h] = false; h++
      :: else -> break
      od
    }
  /* A directive reaches a host, which reports to the agreed owner. */
  :: atomic {
      state == running && owner == me ->
      if
      :: h = 0
      :: h = 1
      fi;
      if
      :: reachable[h] && heard[h] == running && !sealing[me] ->
        directive[h] = both;
        confirmed[h] = false
      :: reachable[h] && heard[h] == running && sealing[me] ->
        directive[h] = candidate_only;
        confirmed[h] = false
      :: else -> skip
      fi
    }
  /* A report with an answer. */
  :: atomic {
      state == running && owner == me && !evidence[me] &&
      answered && (reachable[0] || reachable[1]) ->
      evidence[me] = true
    }
  :: atomic { state == running && owner == me && !sealing[me] &&
      HAS_EVIDENCE(me) -> sealing[me] = true }
  /* A report: it tells the directive in force and what still runs. */
  :: atomic {
      state == running && owner == me && sealing[me] ->
      if
      :: h = 0
      :: h = 1
      fi;
      if
      :: reachable[h] && directive[h] == candidate_only && IS_IDLE(h) ->
        confirmed[h] = true
      :: else -> skip
      fi
    }
  /* A host that can't be heard isn't waited for once its directive is over. */
  :: atomic {
      if
      :: h = 0
      :: h = 1
      fi;
      if
      :: !reachable[h] -> given_up[h] = true
      :: else -> skip
      fi
    }
  :: atomic {
      state == running && owner == me && sealing[me] && IS_CONFIRMED ->
      end_rollout(me, completed)
    }
  :: atomic { state != unordered -> end_rollout(me, rolled_back) }
#ifdef TWO_ENDS
  :: atomic { state != unordered -> end_rollout(me, completed) }
#endif
  :: break
  od
}

proctype Host(byte me) {
  byte steps = 0;
  do
  :: steps < 3 ->
    steps++;
    if
    :: atomic { reachable[me] -> heard[me] = state }
    /* A directive expires, and the host goes back to the stable version. */
    :: atomic { directive[me] != stable_only && (state == running || !reachable[me] || heard[me] != running) ->
        directive[me] = stable_only;
#ifndef KEEP_CONFIRMED
        confirmed[me] = false
#endif
      }
    :: atomic { reachable[me] -> reachable[me] = false }
    :: atomic { stable_requests[me] > 0 -> stable_requests[me]-- }
    /* Sends a request to the stable version. */
    :: atomic {
        (heard[me] == completed || directive[me] == candidate_only) -> skip
      }
    :: atomic {
        heard[me] != completed && stable_requests[me] < 1 && (heard[me] == rolled_back || directive[me] != candidate_only) ->
        /* Only one that can't be heard may still do so after the end. */
        assert(state != completed || !reachable[me]);
        stable_requests[me]++
      }
    /* Sends a request to the candidate. */
    :: atomic {
        heard[me] == completed || (heard[me] != rolled_back && directive[me] != stable_only) ->
        assert(state != unordered);
        assert(!(state == rolled_back && heard[me] == rolled_back));
        /* The first answer takes no step, to keep the others' number. */
        if
        :: !answered -> answered = true; steps--
        :: else -> skip
        fi
      }
    :: skip
    fi
  :: else -> break
  od
}

/* At the end nothing runs at the old version but from hosts that can't be
   heard. */
proctype Watch() {
  atomic {
    state == completed ->
    assert(!reachable[0] || stable_requests[0] == 0);
    assert(!reachable[1] || stable_requests[1] == 0)
  }
}

init {
  atomic {
    run Owner(0);
    run Owner(1);
    run Host(0);
    run Host(1);
    run Watch()
  }
}
