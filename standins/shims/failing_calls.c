/*
 * Preloaded into a router under test: calls fail with the errors that the file named by SHIM_CALLS_FILE holds, one 32-bit
 * errno for each of accept, fsync, write to a file, rename; 0 lets the call through. The test may change them at any time.
 * Calls that do not go by the C library (connects, here) are not touched.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

enum call { ACCEPT, FSYNC, WRITE_FILE, RENAME, CALLS };

static volatile int32_t *errors;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("SHIM_CALLS_FILE");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, CALLS * sizeof(int32_t), PROT_READ, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED)
        errors = mapped;
    close(file);
}

static int fails(enum call call) {
    int error = errors ? errors[call] : 0;
    if (error)
        errno = error;
    return error;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return fails(ACCEPT) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int fsync(int fd) {
    return fails(FSYNC) ? -1 : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    return fails(FSYNC) ? -1 : REAL(fdatasync)(fd);
}

ssize_t write(int fd, const void *bytes, size_t length) {
    struct stat about;
    if (errors && errors[WRITE_FILE] && fstat(fd, &about) == 0 && S_ISREG(about.st_mode)) {
        errno = errors[WRITE_FILE];
        return -1;
    }
    return REAL(write)(fd, bytes, length);
}

int rename(const char *from, const char *to) {
    return fails(RENAME) ? -1 : REAL(rename)(from, to);
}
