/**
 * A simulated worker for the training run in which {@code bin/build-platform} records the classes, lambdas and methods that
 * the programs use. Without a worker that responds, the code that handles responses would be missing from the archives.
 */
package silverlatch.simulation.training;
