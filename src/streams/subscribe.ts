/** Subscribes a function to a `most` stream; an error of the stream is thrown. */
import type { Stream } from "most";

/** Calls `observer` for each event until the returned function is called. */
export function subscribe<T>(
  stream: Stream<T>,
  observer: (event: T) => void,
): () => void {
  const subscription = stream.subscribe({
    next: observer,
    error: (error) => {
      throw error;
    },
    complete: () => {},
  });
  return () => subscription.unsubscribe();
}
