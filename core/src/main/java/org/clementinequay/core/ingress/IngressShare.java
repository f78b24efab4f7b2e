package org.clementinequay.core.ingress;

/** What one connection of a caller holds. State of {@link IngressBudget}, guarded by its lock. */
public final class IngressShare {
  private final IngressBudget budget;
  final String address;
  final IngressHolder holder;

  /** Account of the request in progress; empty if it has none. */
  String account = "";

  volatile IngressPhase phase = IngressPhase.UNUSED;
  long bytes;

  /** Bytes for which the holder waits; 0 if it does not wait. */
  long wantedBytes;

  /** Whether it waits for an answer, and not for a body. */
  boolean wantsAnswer;

  /** Part of {@link #bytes} that is for an answer. */
  long answerBytes;

  long phaseNanos;
  long progressNanos;
  long progressBytes;
  long waitingNanos;
  long limitNanos;
  boolean turnedAway;
  boolean closing;
  boolean closed;

  IngressShare(IngressBudget budget, String address, IngressHolder holder) {
    this.budget = budget;
    this.address = address;
    this.holder = holder;
  }

  /** Returns whether what is held will be given back soon. */
  boolean leaves() {
    return turnedAway || closing;
  }

  /**
   * Takes bytes for a part of a head that has arrived.
   *
   * @param lines ends of lines in it, each of which may be a field
   * @return whether the connection may go on; otherwise the caller must close it
   */
  public boolean takeHead(int headBytes, int lines) {
    return budget.takeHead(this, headBytes, lines);
  }

  /** Begins a request whose head is complete; replaces what was taken for the head. */
  public void beginRequest(int headBytes, int fields) {
    budget.beginRequest(this, headBytes, fields);
  }

  /**
   * Takes bytes for what is decoded from a complete head, beside its text and fields.
   *
   * @return whether there is room; otherwise the head must not be decoded
   */
  public boolean takeDecodedHead(long moreBytes) {
    return budget.takeDecodedHead(this, moreBytes);
  }

  /**
   * Begins the receipt of a body.
   *
   * @param accountName account of the request; empty if it has none
   * @param limitMillis time for the whole body
   */
  public void beginBody(String accountName, long limitMillis) {
    budget.beginBody(this, accountName, limitMillis);
  }

  /** Takes bytes for a body. */
  public Admission takeBody(long moreBytes) {
    return budget.takeBody(this, moreBytes);
  }

  /** Records bytes that the caller sent or read, or that its answer grew by. */
  public void recordProgress(long movedBytes) {
    if (phase.holdsForSlowPeers()) {
      budget.recordProgress(this, movedBytes);
    }
  }

  /** Gives back a part of what was taken. */
  public void release(long lessBytes) {
    budget.release(this, lessBytes);
  }

  /** The body is complete. */
  public void endBody() {
    budget.endBody(this);
  }

  /** Returns whether the caller is still to be turned away, as its holder was told. */
  public boolean isTurnedAway() {
    return budget.isTurnedAway(this);
  }

  /**
   * Takes room for a whole answer before it is received; the answer to a repeat is that of the
   * first call, or {@link Admission#ADMITTED} once there is room.
   */
  public Admission takeAnswerRoom(long wholeBytes) {
    return budget.takeAnswerRoom(this, wholeBytes);
  }

  /** Gives back the room for an answer that does not come, or stops waiting for it. */
  public void releaseAnswerRoom() {
    budget.releaseAnswerRoom(this);
  }

  /**
   * Begins to send a whole answer. Room that was taken for it is used; beyond that the bytes are
   * taken whatever the limit.
   */
  public void takeAnswer(long wholeBytes) {
    budget.takeAnswer(this, wholeBytes);
  }

  /** Gives back what was taken for a request. */
  public void endRequest() {
    budget.endRequest(this);
  }

  /**
   * Begins to close the connection, which holds what it holds until {@link #close}.
   *
   * @return whether there is so much room that it need not be closed at once
   */
  public boolean beginClose() {
    return budget.beginClose(this);
  }

  /** Gives back everything. */
  public void close() {
    budget.close(this);
  }
}
