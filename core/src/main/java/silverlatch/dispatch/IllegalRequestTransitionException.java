package silverlatch.dispatch;

/** Thrown for an event that is illegal in a request's state: a bug in this program, not invalid input. */
final class IllegalRequestTransitionException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    IllegalRequestTransitionException(final RequestState state, final RequestEvent event) {
        super("request in state " + state + " does not accept event " + event);
    }
}
