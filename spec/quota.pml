/* The quota of one client account: two control hosts that may lead, 0 and 1,
 * and token pools that ask the leader for tokens.
 *
 * Time is a step that counts every running span down by one and adds one token
 * to the leader's bucket. Any message may be lost: a call that nobody answers, a
 * reply that the pool gives up on. A reply may take any number of steps. The
 * leader counts a token's lifetime from its reply and a step longer than the
 * pool, for the clock drift. A confirmation that is late is one that is made
 * later. The agreed state names one host at a time (agreement.pml).
 *
 * Checked at each token that is spent: in every window the spent tokens are at
 * most the rate times its length, the capacity, and START for each start of a
 * leader in the window or up to a token lifetime before it. `budget` is a
 * bucket of that depth, which is never empty then. Also, no two hosts grant at
 * the same time.
 *
 * Broken variants, each of which must be caught:
 *   -DNO_WAIT          a new leader grants while the lease before may run
 *   -DTWO_LEADERS      a leader grants without a confirmation
 *   -DCOUNT_FROM_REPLY a pool counts the lifetime from the reply
 *   -DNO_SEQUENCE      the leader takes a repeated call for a new one
 *   -DRETURN_SPENT     tokens that were spent go back to the bucket
 *   -DFULL_START       a new leader starts with the whole capacity
 */

#ifndef POOLS
#define POOLS 2
#endif
#ifndef STARTS
#define STARTS 1
#endif
#ifndef CAPACITY
#define CAPACITY 2
#endif
#define START 1
#ifndef LIFE
#define LIFE 3
#endif
#define LEASE 1
#define MOST 6   /* more are never spent between two reports */

#define AT(h, p) ((h) * POOLS + (p))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

/* Agreed. */
byte named = 0;
byte starts;               /* terms and restarts so far */

/* Of each host that may lead. */
bool is_current[2];        /* it knows the newest term, which names it */
byte wait[2];              /* steps until it may grant */
byte lease[2];             /* steps left of its newest confirmation */
bool begun[2];
byte available[2];
byte uncertain[2];         /* steps for which earlier tokens may be unreported */
byte earlier[2];           /* tokens of earlier leaders that were reported */
byte counted[2 * POOLS];   /* tokens that a pool may spend */
byte expiry[2 * POOLS];
byte unreported[2 * POOLS]; /* spent since the last report */

/* Of each pool. */
byte held[POOLS];
byte life[POOLS];
bool calling[POOLS];
byte call_held[POOLS];
byte call_life[POOLS];
byte call_spent[2 * POOLS];
bool answered[POOLS];
bool renewed[POOLS];
byte reply[POOLS];
#ifdef NO_SEQUENCE
byte stale_held[POOLS];
#endif

/* What may still be spent by the definition of the limit. */
byte budget = CAPACITY;
byte recent[STARTS + 1];   /* steps for which a start counts */

byte i, j, n;

#ifdef TWO_LEADERS
#define MAY_GRANT(h) (is_current[h] && wait[h] == 0)
#else
#define MAY_GRANT(h) (is_current[h] && wait[h] == 0 && lease[h] > 0)
#endif

#if POOLS == 2
#define COUNTED(h) (counted[AT(h, 0)] + counted[AT(h, 1)])
#else
#define COUNTED(h) counted[AT(h, 0)]
#endif
#define LIMIT(h) \
  (uncertain[h] > 0 -> MIN(CAPACITY, START + earlier[h]) : CAPACITY)
#define ROOM(h) (LIMIT(h) > COUNTED(h) -> LIMIT(h) - COUNTED(h) : 0)

inline DownByOne(span) {
  if
  :: span > 0 -> span--
  :: else
  fi
}

inline ForgetLeader(h) {
  begun[h] = false;
  available[h] = 0;
  uncertain[h] = 0;
  earlier[h] = 0;
  wait[h] = 0;
  lease[h] = 0;
  for (i : 0 .. POOLS - 1) {
    counted[AT(h, i)] = 0;
    expiry[AT(h, i)] = 0
  };
  i = 0
}

/* A new term that names h, or a new process of the host that is named. The
 * host before may not know it yet; its lease ends without confirmations. */
inline Choose(h) {
  named = h;
  starts++;
  ForgetLeader(h);
  is_current[h] = true;
#ifndef NO_WAIT
  wait[h] = LEASE + 1
#endif
}

inline Begin(h) {
  begun[h] = true;
#ifdef FULL_START
  available[h] = CAPACITY;
#else
  available[h] = START;
  uncertain[h] = LIFE + 1;
#endif
  recent[starts] = LIFE + 1;
  budget = budget + START
}

/* The spent tokens are in `spent`. */
inline TakeReport(h, p, reported, spent) {
  if
  :: reported > counted[AT(h, p)] ->
     earlier[h] = earlier[h] + reported - counted[AT(h, p)];
     counted[AT(h, p)] = reported;
     expiry[AT(h, p)] = LIFE + 1
  :: else ->
     n = counted[AT(h, p)] - reported;
#ifndef RETURN_SPENT
     n = (n > spent -> n - spent : 0);
#endif
     available[h] = available[h] + n;
     counted[AT(h, p)] = reported
  fi;
  unreported[AT(h, p)] = (unreported[AT(h, p)] > spent ->
                          unreported[AT(h, p)] - spent : 0);
  available[h] = MIN(available[h], ROOM(h));
  n = 0
}

inline Answer(h, p) {
  assert(!MAY_GRANT(1 - h));
  if
  :: !begun[h] -> Begin(h)
  :: else
  fi;
  TakeReport(h, p, call_held[p], call_spent[AT(h, p)]);
  renewed[p] = COUNTED(h) <= CAPACITY;
  if
  :: renewed[p] -> expiry[AT(h, p)] = LIFE + 1
  :: else
  fi;
  if
  :: available[h] > 0 -> reply[p] = 1
  :: reply[p] = available[h]
  fi;
  available[h] = available[h] - reply[p];
  counted[AT(h, p)] = counted[AT(h, p)] + reply[p];
  if
  :: counted[AT(h, p)] == 0 -> expiry[AT(h, p)] = 0
  :: else
  fi;
  answered[p] = true
}

inline MakeCall(p) {
  ForgetSpent(0, p);
  ForgetSpent(1, p);
  calling[p] = true;
  call_held[p] = held[p];
  call_life[p] = LIFE;
  call_spent[AT(0, p)] = unreported[AT(0, p)];
  call_spent[AT(1, p)] = unreported[AT(1, p)]
}

/* Without counted tokens, earlier spending changes nothing at the next report. */
inline ForgetSpent(h, p) {
  if
  :: counted[AT(h, p)] == 0 -> unreported[AT(h, p)] = 0
  :: else
  fi
}

inline EndCall(p) {
#ifdef NO_SEQUENCE
  stale_held[p] = call_held[p];
#endif
  calling[p] = false;
  answered[p] = false;
  renewed[p] = false;
  reply[p] = 0;
  call_held[p] = 0;
  call_life[p] = 0;
  call_spent[AT(0, p)] = 0;
  call_spent[AT(1, p)] = 0
}

inline Accept(p) {
#ifdef COUNT_FROM_REPLY
  call_life[p] = LIFE;
#endif
  if
  :: call_life[p] > 0 ->
     held[p] = held[p] + reply[p];
     if
     :: held[p] > 0 && renewed[p] -> life[p] = call_life[p]
     :: else
     fi
  :: else
  fi;
  EndCall(p)
}

inline Spend(p) {
  assert(budget > 0);
  budget--;
  held[p]--;
  if
  :: held[p] == 0 -> life[p] = 0
  :: else
  fi;
  for (i : 0 .. 1) {
    if
    :: unreported[AT(i, p)] < MOST -> unreported[AT(i, p)]++
    :: else
    fi
  };
  i = 0
}

inline Step() {
  n = CAPACITY;
  for (i : 0 .. STARTS) {
    DownByOne(recent[i]);
    n = n + (recent[i] > 0 -> START : 0)
  };
  budget = MIN(budget + 1, n);
  n = 0;
  for (i : 0 .. 1) {
    /* A bucket refills up to its room before tokens expire. */
    if
    :: begun[i] && available[i] < ROOM(i) -> available[i]++
    :: else
    fi;
    DownByOne(lease[i]);
    DownByOne(wait[i]);
    DownByOne(uncertain[i]);
    for (j : 0 .. POOLS - 1) {
      DownByOne(expiry[AT(i, j)]);
      if
      :: expiry[AT(i, j)] == 0 ->
         counted[AT(i, j)] = 0;
         if
         :: !calling[j] -> unreported[AT(i, j)] = 0
         :: else
         fi
      :: else
      fi
    }
  };
  for (j : 0 .. POOLS - 1) {
    DownByOne(call_life[j]);
    DownByOne(life[j]);
    if
    :: life[j] == 0 -> held[j] = 0
    :: else
    fi
  };
#ifndef TWO_LEADERS
  /* A host that can't be confirmed any more never grants in this term. */
  for (j : 0 .. 1) {
    if
    :: named != j && lease[j] == 0 && is_current[j] ->
       is_current[j] = false;
       ForgetLeader(j)
    :: else
    fi
  };
#endif
  i = 0;
  j = 0
}

#define LEADS(h) \
  :: d_step { starts < STARTS && (named != h || is_current[h]) -> Choose(h) } \
  :: d_step { named == h && is_current[h] && lease[h] < LEASE -> \
              lease[h] = LEASE }

#ifdef NO_SEQUENCE
#define REPEATED(h, p) \
  :: d_step { MAY_GRANT(h) && begun[h] && stale_held[p] < counted[AT(h, p)] -> \
              TakeReport(h, p, stale_held[p], 0) }
#else
#define REPEATED(h, p)
#endif

/* Before a call, which then reports fewer tokens than were granted. */
#ifdef GIVE_BACK
#define GIVES_BACK(p) \
  :: d_step { !calling[p] && held[p] > 0 -> held[p] = 0; life[p] = 0 }
#else
#define GIVES_BACK(p)
#endif

/* -DINSTANT: a call takes no time, and its reply arrives or is lost. */
#ifdef INSTANT
#define CALLS(h, p) \
  :: atomic { MAY_GRANT(h) -> MakeCall(p); Answer(h, p); \
              if \
              :: Accept(p) \
              :: EndCall(p) \
              fi }
#define ENDS(p)
#else
#define CALLS(h, p) \
  :: atomic { calling[p] && !answered[p] && MAY_GRANT(h) -> Answer(h, p) }
#define ENDS(p) \
  :: d_step { !calling[p] -> MakeCall(p) } \
  :: d_step { calling[p] && answered[p] -> Accept(p) } \
  :: d_step { calling[p] -> EndCall(p) }
#endif

#define POOL(p) \
  CALLS(0, p) \
  CALLS(1, p) \
  ENDS(p) \
  GIVES_BACK(p) \
  :: d_step { held[p] > 0 -> Spend(p) } \
  REPEATED(0, p) \
  REPEATED(1, p)

active proctype Quota() {
  d_step {
    is_current[0] = true;
    begun[0] = true;
    available[0] = CAPACITY
  };
  do
  :: d_step { Step() }
  LEADS(0)
  LEADS(1)
  POOL(0)
#if POOLS == 2
  POOL(1)
#endif
  od
}
