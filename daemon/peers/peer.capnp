@0xd3c1a8f04b7e9256;
# Messages between VMs. Each is packed and preceded by its length in bytes as four bytes, least significant first.
# A change that an older daemon cannot read raises kPeerProtocolVersion in daemon/peers/peermessage.h.
# Durations count microseconds from the moment of sending, because VMs share no clock.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisystream::wire");

struct Message {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    ack @2 :Ack;                  # Answers a heartbeat or ping on the same connection.
    ping @3 :UInt64;
    documentRequest @4 :UInt8;    # Kind of document.
    document @5 :Document;
    ask @6 :Work;
    queued @7 :Reference;
    assign @8 :Assign;
    refuse @9 :Refuse;
    withdraw @10 :Reference;
    cancel @11 :Cancel;
    firstToken @12 :FirstToken;
    progress @13 :Progress;
    done @14 :Done;
    resync @15 :Resync;
    shareRequest @16 :ShareRequest;
    shareGrant @17 :ShareGrant;
    order @18 :Order;
    orderReply @19 :OrderReply;
    news @20 :News;
    permitAsk @21 :PermitAsk;
    permitReply @22 :PermitReply;
    slowness @23 :Slowness;       # To the collector of the endpoint.
    check @24 :Check;             # From the owner of a cell to an entry VM.
  }
}

struct Hello {
  protocolVersion @0 :UInt32;
  vm @1 :Text;
  incarnation @2 :UInt64;
  zone @3 :Text;
}

struct Heartbeat {
  sequence @0 :UInt64;
  versions @1 :List(UInt64);      # Of the documents, by kind.
  stopping @2 :Bool;
  cells @3 :List(CellDigest);     # Owned by the sender.
  heard @4 :List(Heard);          # Forwarded heartbeats of other VMs.
  cutOff @5 :Bool;                # The sender does not reach the platform.
  reports @6 :UInt64;             # Digest of what the sender knows of who is live; 0: it keeps no reports.
  epochs @7 :List(UInt64);        # Of the versions, by kind; empty: all are 0.
}

struct Ack {
  sequence @0 :UInt64;
  versions @1 :List(UInt64);      # Of the documents, by kind, at the moment of the answer.
  contactAgeMs @2 :Int64 = -1;    # Since the platform showed the sender what is in force; -1: not known.
  issuesPermits @3 :Bool;         # The sender handles permitAsk, which is sent to no other VM.
  epochs @4 :List(UInt64);        # Of the versions, by kind; empty: all are 0.
  storeEpoch @5 :UInt64;          # Latest epoch that the store has stated, as far as the sender knows.
  answersChecks @6 :Bool;         # The sender handles check, which is sent to no other VM.
}

struct CellDigest {
  cell @0 :Text;
  queuedUrgent @1 :UInt32;
  queuedOrdinary @2 :UInt32;
  running @3 :UInt32;
}

struct Heard {
  vm @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

struct Document {
  kind @0 :UInt8;
  number @1 :UInt64;
  changeId @2 :Text;
  text @3 :Data;
  vms @4 :List(Text);             # That the sender knows, itself included.
  epoch @5 :UInt64;               # Epoch of the store to which the number belongs.
}

struct Work {
  cell @0 :Text;
  request @1 :Text;
  team @2 :Text;
  entry @3 :Text;
  rank @4 :UInt8;
  model @5 :Text;
  promptTokens @6 :UInt32;
  maxOutputTokens @7 :UInt32;
  weight @8 :Float64;
  pace @9 :Float64;
  deadlineIn @10 :Int64;
  age @11 :Int64;
  prefixHash @12 :UInt64;
  lengthClass @13 :Text;
  fixed @14 :Bool;                # Stays at its endpoint once it is assigned.
  heldTokens @15 :UInt32;
  movesFrom @16 :Text;            # Empty: it does not run yet.
  movesFromZone @17 :Text;
  once @18 :Bool;                 # It may not run again if it fails.
  avoids @19 :Text;               # Endpoint where it has just failed; empty: none.
  barred @20 :List(Text);         # Endpoints that take nothing from its entry VM at present.
  usefulIn @21 :Int64 = -1;       # Until the caller takes no first token any more; -1: the deadline counts.
}

struct Reference {
  cell @0 :Text;
  request @1 :Text;
}

struct FirstToken {
  cell @0 :Text;
  request @1 :Text;
  slownessPercent @2 :UInt32;     # Of the engine, as it stated it; 100: as usual, 0: not stated.
  slownessAge @3 :Int64;          # Microseconds since it stated it.
}

struct Assign {
  cell @0 :Text;
  request @1 :Text;
  endpoint @2 :Text;
  priority @3 :UInt8;
}

struct Refuse {
  cell @0 :Text;
  request @1 :Text;
  code @2 :UInt16;
  detail @3 :Text;
  retryAfterMs @4 :Int64;         # -1: not known.
}

struct Cancel {
  cell @0 :Text;
  request @1 :Text;
  endpoint @2 :Text;
}

struct Progress {
  cell @0 :Text;
  requests @1 :List(Text);
  tokens @2 :List(UInt32);        # Generated in total, in the order of requests.
}

struct Done {
  cell @0 :Text;
  request @1 :Text;
  tokens @2 :UInt32;
  reason @3 :UInt8;
}

struct Check {
  cell @0 :Text;
  running @1 :List(Text);         # Requests that run as far as the owner knows, and that it has not heard of for some time.
  unknown @2 :List(Text);         # Requests that the owner was told of and does not know.
}

struct Resync {
  cell @0 :Text;
  running @1 :List(Running);
}

struct Running {
  work @0 :Work;
  endpoint @1 :Text;
  tokens @2 :UInt32;
  hasFirstToken @3 :Bool;
}

struct ShareRequest {
  team @0 :Text;
  concurrency @1 :UInt32;
  tokensPerSecond @2 :Float64;
  heldGrant @3 :UInt64;           # Number of the grant that the sender holds, 0 if none.
}

struct ShareGrant {
  team @0 :Text;
  grant @1 :UInt64;
  concurrency @2 :UInt32;
  tokensPerSecond @3 :Float64;
  validFor @4 :Int64;
}

struct News {
  origin @0 :Text;
  relay @1 :Bool;                 # The receiver passes it on to its zone.
  reports @2 :List(VmReport);
  endpoints @3 :EndpointChanges;
  documents @4 :List(DocumentVersion);
  leaving @5 :List(Text);         # Endpoints that said in an answer that they leave.
  cells @6 :List(CellDigest);     # Owned by the origin.
  limits @7 :List(LimitStatement);
  crashes @8 :List(EngineCrash);
  begun @9 :List(PartSighting);   # Requests with these parts began.
  trials @10 :List(PartSighting); # Requests with these blocked parts were let through.
  slowness @11 :List(Slowness);   # Of endpoints of plain services.
}

# A request that was at an engine and had not begun when the engine crashed.
struct EngineCrash {
  engine @0 :Text;
  parts @1 :List(UInt64);         # Of its prompt, sorted.
  sentAge @2 :Int64;              # Since it was sent to the engine.
  crashAge @3 :Int64;             # Since the connection broke.
}

struct PartSighting {
  part @0 :UInt64;
  age @1 :Int64;
}

# How long work took on the host of an endpoint, as the endpoint reported it in a response.
struct Slowness {
  endpoint @0 :Text;
  percent @1 :UInt32;             # Of the usual duration.
  age @2 :Int64;                  # Since the response was received.
  relativePercent @3 :UInt32;     # Duration of the call, of the usual; 0: not known.
  gainPercent @4 :UInt8 = 255;    # Part of the slowness that calls confirmed; 255: not known.
}

# A limit of requests a second that an endpoint stated for all VMs together.
struct LimitStatement {
  endpoint @0 :Text;
  perSecond @1 :Float64;          # 0: it states none any more.
  age @2 :Int64;                  # Since it was stated.
}

struct PermitAsk {
  number @0 :UInt64;
  vm @1 :Text;
  attempt @2 :UInt64;
  request @3 :UInt64;             # The same for all attempts of a request.
  urgent @4 :Bool;
  patience @5 :Int64;
  statement @6 :LimitStatement;   # Names the endpoint.
  coldPerSecond @7 :Float64;      # 0 if the endpoint is not cold as far as the asking VM knows.
}

struct PermitReply {
  number @0 :UInt64;
  granted @1 :Bool;               # The next four fields are set only if it is false.
  retryAfter @2 :Int64;
  placeKept @3 :Bool;
  fullFor @4 :Int64;
  pause @5 :Int64;
  statement @6 :LimitStatement;   # Names the endpoint.
}

struct VmReport {
  vm @0 :Text;
  reporter @1 :Text;
  kind @2 :UInt8;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  cutOff @5 :Bool;
}

struct EndpointChanges {
  after @0 :UInt64;
  upTo @1 :UInt64;
  changes @2 :List(EndpointChange);
  afterEpoch @3 :UInt64;
  epoch @4 :UInt64;               # Of upTo and of the revisions of all changes.
}

struct EndpointChange {
  name @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;               # The other fields are empty.
  service @3 :Text;
  address @4 :Text;
  zone @5 :Text;
  state @6 :UInt8;
  slots @7 :UInt32;
  startedAt @8 :UInt64;
  cold @9 :Int64;                 # Time for which the endpoint is still cold.
}

struct DocumentVersion {
  kind @0 :UInt8;
  number @1 :UInt64;
  epoch @2 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Order {
  number @0 :UInt64;
  incarnation @1 :UInt64;         # Of the VM that issued the ticket.
  ticket @2 :Text;
  team @3 :Text;
  service @4 :Text;
  method @5 :Text;
  target @6 :Text;
  headers @7 :List(Header);
  body @8 :Data;
}

struct OrderReply {
  number @0 :UInt64;
  code @1 :UInt16;                # 0: status, headers and body are set.
  detail @2 :Text;
  retryAfterMs @3 :Int64;
  status @4 :UInt32;
  headers @5 :List(Header);
  body @6 :Data;
}
