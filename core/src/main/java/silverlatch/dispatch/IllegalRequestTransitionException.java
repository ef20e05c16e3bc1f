package silverlatch.dispatch;

/** A request was given an event that its state does not take: a fault of the program, not of its input. */
final class IllegalRequestTransitionException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    IllegalRequestTransitionException(final RequestState state, final RequestEvent event) {
        super("a request in state " + state + " does not take event " + event);
    }
}
